package org.eiderstair.protocol;

import java.io.IOException;
import org.msgpack.core.MessageUnpacker;

/**
 * Computes how long a message is as JSON, the form in which the protocol counts its size limits.
 * Where the same value has several forms, the shortest counts, so that no message within the limit
 * is found to be too long.
 */
final class JsonSize {
  private static final int QUOTES_BYTES = 2;
  private static final int BRACKETS_BYTES = 2;

  private final MessagePackInput input;
  private long sizeBytes;

  private JsonSize(MessagePackInput input) {
    this.input = input;
  }

  /** Returns the size in bytes of the next value. */
  static long of(MessagePackInput input) throws IOException, MalformedMessageException {
    JsonSize size = new JsonSize(input);
    long pending = 1;
    while (pending > 0) {
      pending += size.addHeaderOrScalar() - 1;
    }
    return size.sizeBytes;
  }

  /** Adds a scalar, or the punctuation of a list or map; returns the number of values in it. */
  private long addHeaderOrScalar() throws IOException, MalformedMessageException {
    MessageUnpacker unpacker = input.unpacker();
    switch (input.nextType()) {
      case NIL:
        unpacker.unpackNil();
        sizeBytes += "null".length();
        return 0;
      case BOOLEAN:
        sizeBytes += String.valueOf(unpacker.unpackBoolean()).length();
        return 0;
      case INTEGER:
        sizeBytes += unpacker.unpackBigInteger().toString().length();
        return 0;
      case STRING:
        sizeBytes += input.utf8().length + QUOTES_BYTES;
        return 0;
      case ARRAY:
        int items = input.listHeader();
        sizeBytes += BRACKETS_BYTES + Math.max(0, items - 1);
        return items;
      case MAP:
        int entries = input.mapHeader();
        sizeBytes += BRACKETS_BYTES + entries + Math.max(0, entries - 1);
        return 2L * entries;
      default:
        input.skipValue();
        sizeBytes++;
        return 0;
    }
  }
}
