package org.eiderstair.protocol;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/**
 * MessagePack to and from plain maps, lists, text, numbers, booleans and null; nothing is binary.
 */
public final class MessagePackCodec {
  private static final int DEEPEST = 24;

  /** Small buffers: the library's defaults are made for far larger messages. */
  private static final MessagePack.PackerConfig PACKER =
      new MessagePack.PackerConfig().withBufferSize(1024);

  /**
   * Names of fields come again and again: each is made into text once. A slot that is taken stays
   * taken.
   */
  private static final String[] NAMES = new String[512];

  private static final int MAX_NAME = 24;

  private MessagePackCodec() {}

  /** Encodes a message as MessagePack. */
  public static byte[] write(Map<String, ?> map) {
    try (MessageBufferPacker packer = PACKER.newBufferPacker()) {
      write(packer, map);
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
      packer.packMapHeader(map.size());
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        packer.packString((String) entry.getKey());
        write(packer, entry.getValue());
      }
    } else if (value instanceof List<?> list) {
      packer.packArrayHeader(list.size());
      for (Object item : list) {
        write(packer, item);
      }
    } else {
      throw new IllegalArgumentException("cannot pack " + value.getClass());
    }
  }

  /**
   * Takes the maps of one list of a message as they come, instead of a map for each: a report's
   * tasks are most of what a leader reads. The values stand in the order of {@link #names}, null
   * where there is none; they are overwritten by the next. Of the first, each differs; the others
   * are one of a few words.
   */
  interface Rows {
    String field();

    String[] names();

    /**
     * The list begins, also when the message holds it twice: what was taken before does not count.
     */
    void begin();

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
  static Map<String, Object> readMap(byte[] bytes, Rows rows) throws MalformedMessageException {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (!unpacker.hasNext() || unpacker.getNextFormat().getValueType() != ValueType.MAP) {
        throw new MalformedMessageException("body is not a map");
      }
      Map<String, Object> map = map(unpacker, bytes.length, 1, rows);
      if (unpacker.hasNext()) {
        throw new MalformedMessageException("bytes after the map");
      }
      return map;
    } catch (IOException | MessagePackException e) {
      throw new MalformedMessageException("not MessagePack: " + e.getClass().getSimpleName());
    }
  }

  private static Map<String, Object> map(MessageUnpacker unpacker, int size, int depth, Rows rows)
      throws IOException, MalformedMessageException {
    int count = unpacker.unpackMapHeader();
    check(2L * count, unpacker, size, depth);
    Map<String, Object> map = new LinkedHashMap<>(Math.min(count, 64) * 2);
    for (int i = 0; i < count; i++) {
      if (unpacker.getNextFormat().getValueType() != ValueType.STRING) {
        throw new MalformedMessageException("a key is not text");
      }
      String name = name(text(unpacker, size, depth));
      boolean row =
          rows != null
              && name.equals(rows.field())
              && unpacker.getNextFormat().getValueType() == ValueType.ARRAY;
      map.put(name, row ? rows(unpacker, size, depth + 1, rows) : value(unpacker, size, depth + 1));
    }
    return map;
  }

  /**
   * An empty list when all of them were maps, else what was none: for a reader of fields to refuse.
   */
  private static List<Object> rows(MessageUnpacker unpacker, int size, int depth, Rows rows)
      throws IOException, MalformedMessageException {
    int count = unpacker.unpackArrayHeader();
    check(count, unpacker, size, depth);
    String[] names = rows.names();
    Object[] values = new Object[names.length];
    List<Object> others = List.of();
    rows.begin();
    for (int i = 0; i < count; i++) {
      if (unpacker.getNextFormat().getValueType() != ValueType.MAP) {
        others = new ArrayList<>(others);
        others.add(value(unpacker, size, depth + 1));
        continue;
      }
      Arrays.fill(values, null);
      int fields = unpacker.unpackMapHeader();
      check(2L * fields, unpacker, size, depth + 1);
      for (int j = 0; j < fields; j++) {
        if (unpacker.getNextFormat().getValueType() != ValueType.STRING) {
          throw new MalformedMessageException("a key is not text");
        }
        String name = name(text(unpacker, size, depth + 1));
        int at = names.length - 1;
        while (at >= 0 && !names[at].equals(name)) {
          at--;
        }
        boolean word = at > 0 && unpacker.getNextFormat().getValueType() == ValueType.STRING;
        Object value =
            word ? name(text(unpacker, size, depth + 2)) : value(unpacker, size, depth + 2);
        if (at >= 0) {
          values[at] = value;
        }
      }
      rows.row(values);
    }
    return others;
  }

  /**
   * The bytes of a text. The library's own way to read text sets aside 16 KB for each message,
   * which cost an unchanged report more than all the rest of its way: 26 KB against 8.
   */
  private static byte[] text(MessageUnpacker unpacker, int size, int depth)
      throws IOException, MalformedMessageException {
    int length = unpacker.unpackRawStringHeader();
    check(length, unpacker, size, depth);
    return unpacker.readPayload(length);
  }

  private static String name(byte[] bytes) {
    if (bytes.length > MAX_NAME) {
      return new String(bytes, StandardCharsets.UTF_8);
    }
    int hash = bytes.length;
    for (byte b : bytes) {
      hash = hash * 31 + b;
    }
    int slot = (hash ^ hash >>> 15) & NAMES.length - 1;
    String known = NAMES[slot];
    if (known != null && is(known, bytes)) {
      return known;
    }
    String made = new String(bytes, StandardCharsets.UTF_8);
    if (known == null) {
      NAMES[slot] = made;
    }
    return made;
  }

  /** Only plain ASCII is taken for the same. */
  private static boolean is(String known, byte[] bytes) {
    if (known.length() != bytes.length) {
      return false;
    }
    for (int i = 0; i < bytes.length; i++) {
      if (known.charAt(i) != bytes[i]) {
        return false;
      }
    }
    return true;
  }

  private static Object value(MessageUnpacker unpacker, int size, int depth)
      throws IOException, MalformedMessageException {
    switch (unpacker.getNextFormat().getValueType()) {
      case NIL:
        unpacker.unpackNil();
        return null;
      case BOOLEAN:
        return unpacker.unpackBoolean();
      case INTEGER:
        return unpacker.unpackLong();
      case FLOAT:
        return unpacker.unpackDouble();
      case STRING:
        return new String(text(unpacker, size, depth), StandardCharsets.UTF_8);
      case MAP:
        return map(unpacker, size, depth, null);
      case ARRAY:
        int count = unpacker.unpackArrayHeader();
        check(count, unpacker, size, depth);
        List<Object> list = new ArrayList<>(Math.min(count, 64));
        for (int i = 0; i < count; i++) {
          list.add(value(unpacker, size, depth + 1));
        }
        return list;
      default:
        throw new MalformedMessageException("binary or extension value");
    }
  }

  private static void check(long items, MessageUnpacker unpacker, int size, int depth)
      throws MalformedMessageException {
    if (depth > DEEPEST) {
      throw new MalformedMessageException("nested too deeply");
    }
    if (items < 0 || items > size - unpacker.getTotalReadBytes()) {
      throw new MalformedMessageException("longer than its message");
    }
  }
}
