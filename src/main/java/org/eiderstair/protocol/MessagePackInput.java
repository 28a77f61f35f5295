package org.eiderstair.protocol;

import java.io.IOException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * The bytes of one message. Lengths above the number of remaining bytes are refused, so that a
 * short message cannot cause a large allocation.
 */
final class MessagePackInput {
  private final MessageUnpacker unpacker;
  private final int sizeBytes;

  /**
   * @param sizeBytes the size of the message
   */
  MessagePackInput(MessageUnpacker unpacker, int sizeBytes) {
    this.unpacker = unpacker;
    this.sizeBytes = sizeBytes;
  }

  MessageUnpacker unpacker() {
    return unpacker;
  }

  boolean hasNext() throws IOException {
    return unpacker.hasNext();
  }

  ValueType nextType() throws IOException {
    return unpacker.getNextFormat().getValueType();
  }

  /** Reads the header of a list, and returns the number of its items. */
  int listHeader() throws IOException, MalformedMessageException {
    int count = unpacker.unpackArrayHeader();
    checkLength(count);
    return count;
  }

  /** Reads the header of a map, and returns the number of its entries. */
  int mapHeader() throws IOException, MalformedMessageException {
    int count = unpacker.unpackMapHeader();
    checkLength(2L * count);
    return count;
  }

  /**
   * Returns the bytes of a text. The text decoder of the library allocates 16 KB for each message.
   * It raised the memory allocated for an unchanged heartbeat from 8 KB to 26 KB.
   */
  byte[] utf8() throws IOException, MalformedMessageException {
    int length = unpacker.unpackRawStringHeader();
    checkLength(length);
    return unpacker.readPayload(length);
  }

  /**
   * Skips a value of any type and depth without decoding it. The number of values still to be
   * skipped is all that is kept, whatever the nesting.
   */
  void skipValue() throws IOException, MalformedMessageException {
    long pending = 1;
    while (pending > 0) {
      pending += skipHeaderOrScalar() - 1;
      checkLength(pending);
    }
  }

  /** Skips a scalar, or only the header of a list or map; returns the number of values in it. */
  private long skipHeaderOrScalar() throws IOException, MalformedMessageException {
    switch (nextType()) {
      case ARRAY:
        return listHeader();
      case MAP:
        return 2L * mapHeader();
      default:
        unpacker.skipValue();
        return 0;
    }
  }

  private void checkLength(long items) throws MalformedMessageException {
    if (items < 0 || items > sizeBytes - unpacker.getTotalReadBytes()) {
      throw new MalformedMessageException("longer than its message");
    }
  }
}
