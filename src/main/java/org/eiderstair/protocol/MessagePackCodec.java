package org.eiderstair.protocol;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;

/**
 * MessagePack to and from plain maps, lists, text, numbers, booleans and null; nothing is binary.
 */
public final class MessagePackCodec {
  /** Small buffers: the library's defaults are made for far larger messages. */
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(1024);

  private MessagePackCodec() {}

  /** Encodes a message as MessagePack. */
  public static byte[] write(Map<String, ?> message) {
    try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
      write(packer, message);
      return packer.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException("packing to memory failed", e);
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
    } else if (value instanceof Number whole) {
      packer.packLong(whole.longValue());
    } else if (value instanceof Map<?, ?> map) {
      writeMap(packer, map);
    } else if (value instanceof List<?> list) {
      writeList(packer, list);
    } else {
      throw new IllegalArgumentException("cannot pack " + value.getClass());
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
   * Takes the maps of one list of a message as they come, instead of a map for each: a heartbeat's
   * tasks are most of what a leader reads.
   */
  interface RowReader {
    /** The name of the list. */
    String field();

    /** The names of a row's fields. Values of the first differ; the others are of a few words. */
    String[] names();

    /**
     * The list begins, also when the message holds it twice: what was taken before does not count.
     */
    void begin();

    /**
     * One map of the list.
     *
     * @param values in the order of {@link #names}, null where there is none; overwritten by the
     *     next row
     */
    void row(Object[] values) throws MalformedMessageException;
  }

  /**
   * Reads exactly one map. Lengths are checked against what is there before anything is allocated
   * for them.
   */
  public static Map<String, Object> readMap(byte[] bytes) throws MalformedMessageException {
    return readMap(bytes, null);
  }

  /**
   * The same, but for one list, which is handed over row by row; what is left in the map for it is
   * no row's.
   */
  static Map<String, Object> readMap(byte[] bytes, RowReader rows)
      throws MalformedMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      return new MessagePackReader(unpacker, bytes.length, rows).readMessage();
    } catch (IOException | MessagePackException e) {
      throw new MalformedMessageException("not MessagePack: " + e.getClass().getSimpleName());
    }
  }
}
