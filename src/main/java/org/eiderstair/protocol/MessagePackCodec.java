package org.eiderstair.protocol;

import java.io.IOException;
import java.math.BigInteger;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * Converts between MessagePack and plain maps, lists, texts, numbers, booleans and null. A message
 * is read in every form that MessagePack has for it. Values of other kinds are no reason to refuse
 * a message: they become {@link UnreadableValue}, which only a decoder that asks for the field
 * refuses.
 */
public final class MessagePackCodec {
  /** The default buffers of the library are sized for far larger messages. */
  private static final MessagePack.PackerConfig PACKER_CONFIG =
      new MessagePack.PackerConfig().withBufferSize(1024);

  private MessagePackCodec() {}

  /** Encodes a message as MessagePack. */
  public static byte[] write(Map<String, ?> message) {
    try (MessageBufferPacker packer = PACKER_CONFIG.newBufferPacker()) {
      write(packer, message);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("encoding a message to memory failed", e);
    }
  }

  private static void write(MessageBufferPacker packer, Object value) throws IOException {
    if (value == null) {
      packer.packNil();
    } else if (value instanceof String text) {
      packer.packString(text);
    } else if (value instanceof Boolean flag) {
      packer.packBoolean(flag);
    } else if (value instanceof Double real) {
      packer.packDouble(real);
    } else if (value instanceof BigInteger large) {
      packer.packBigInteger(large);
    } else if (value instanceof Number whole) {
      packer.packLong(whole.longValue());
    } else if (value instanceof Map<?, ?> map) {
      writeMap(packer, map);
    } else if (value instanceof List<?> list) {
      writeList(packer, list);
    } else {
      throw new IllegalArgumentException("cannot encode a value of " + value.getClass());
    }
  }

  private static void writeMap(MessageBufferPacker packer, Map<?, ?> map) throws IOException {
    packer.packMapHeader(map.size());
    for (Map.Entry<?, ?> entry : map.entrySet()) {
      packer.packString((String) entry.getKey());
      write(packer, entry.getValue());
    }
  }

  private static void writeList(MessageBufferPacker packer, List<?> list) throws IOException {
    packer.packArrayHeader(list.size());
    for (Object item : list) {
      write(packer, item);
    }
  }

  /**
   * Receives the maps of one list of a message as rows of values, so that no map is allocated for
   * each. Tasks in heartbeats are most of the data that a leader reads.
   */
  interface RowReader {
    /** Returns the name of the list on the wire. */
    String listName();

    /**
     * Returns the names of the fields of a row. Texts in all fields but the first are cached, so
     * they should come from a small set of values.
     */
    String[] columnNames();

    /**
     * Starts the list. A message may hold the list more than once; each call discards the rows
     * received before.
     */
    void beginList();

    /**
     * Receives one map of the list.
     *
     * @param values in the order of {@link #columnNames}, null for a missing field; the reader
     *     reuses the array for the next row
     */
    void row(Object[] values) throws MalformedMessageException;
  }

  /**
   * Decodes a body that holds exactly one map. A declared length above the number of remaining
   * bytes is refused before memory is allocated for it.
   */
  public static Map<String, Object> readMap(byte[] bytes) throws MalformedMessageException {
    return readMap(bytes, null, null);
  }

  /**
   * Decodes like {@link #readMap(byte[])}, but skips the fields that the decoder does not ask for,
   * and passes one list to a reader row by row. In the returned map that list holds only the items
   * that are not maps.
   *
   * @param knownNames the fields to decode; null to decode all of them
   * @param rowReader null to decode all lists into the map
   */
  static Map<String, Object> readMap(byte[] bytes, Set<String> knownNames, RowReader rowReader)
      throws MalformedMessageException {
    return read(bytes, input -> new MessagePackReader(input, knownNames, rowReader).readMessage());
  }

  /** Returns the size in bytes that a message has as JSON. */
  static long jsonSizeBytes(byte[] bytes) throws MalformedMessageException {
    return read(bytes, JsonSize::of);
  }

  /** Reads a message from its input. */
  private interface InputReader<T> {
    T read(MessagePackInput input) throws IOException, MalformedMessageException;
  }

  /** Reads a message. The exception says at which byte the reading stopped. */
  private static <T> T read(byte[] bytes, InputReader<T> reader) throws MalformedMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      try {
        return reader.read(new MessagePackInput(unpacker, bytes.length));
      } catch (MalformedMessageException e) {
        throw e.atOffset(unpacker.getTotalReadBytes());
      } catch (MessagePackException e) {
        throw new MalformedMessageException("not MessagePack: " + e.getClass().getSimpleName())
            .atOffset(unpacker.getTotalReadBytes());
      }
    } catch (IOException e) {
      throw new MalformedMessageException("not MessagePack: " + e.getClass().getSimpleName());
    }
  }
}
