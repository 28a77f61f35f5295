package org.eiderstair.protocol;

import java.io.IOException;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.msgpack.core.MessageBufferPacker;
import org.msgpack.core.MessagePack;
import org.msgpack.core.MessagePackException;
import org.msgpack.core.MessageUnpacker;
import org.msgpack.value.ValueType;

/** MessagePack to and from plain maps, lists, text, numbers, booleans and null; nothing is binary. */
public final class Pack {
  private static final int DEEPEST = 24;
  /** Small buffers: the library's defaults are made for far larger messages. */
  private static final MessagePack.PackerConfig PACKER = new MessagePack.PackerConfig().withBufferSize(1024);

  private Pack() {}

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

  /** Reads exactly one map. Lengths are checked against what is there before anything is allocated for them. */
  public static Map<String, Object> readMap(byte[] bytes) throws Malformed {
    try (MessageUnpacker unpacker = MessagePack.newDefaultUnpacker(bytes)) {
      if (!unpacker.hasNext() || unpacker.getNextFormat().getValueType() != ValueType.MAP) {
        throw new Malformed("body is not a map");
      }
      Map<String, Object> map = map(unpacker, bytes.length, 1);
      if (unpacker.hasNext()) {
        throw new Malformed("bytes after the map");
      }
      return map;
    } catch (IOException | MessagePackException e) {
      throw new Malformed("not MessagePack: " + e.getClass().getSimpleName());
    }
  }

  private static Map<String, Object> map(MessageUnpacker unpacker, int size, int depth)
      throws IOException, Malformed {
    int count = unpacker.unpackMapHeader();
    check(2L * count, unpacker, size, depth);
    Map<String, Object> map = new LinkedHashMap<>(Math.min(count, 64) * 2);
    for (int i = 0; i < count; i++) {
      if (unpacker.getNextFormat().getValueType() != ValueType.STRING) {
        throw new Malformed("a key is not text");
      }
      map.put(unpacker.unpackString(), value(unpacker, size, depth + 1));
    }
    return map;
  }

  private static Object value(MessageUnpacker unpacker, int size, int depth) throws IOException, Malformed {
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
        return unpacker.unpackString();
      case MAP:
        return map(unpacker, size, depth);
      case ARRAY:
        int count = unpacker.unpackArrayHeader();
        check(count, unpacker, size, depth);
        List<Object> list = new ArrayList<>(Math.min(count, 64));
        for (int i = 0; i < count; i++) {
          list.add(value(unpacker, size, depth + 1));
        }
        return list;
      default:
        throw new Malformed("binary or extension value");
    }
  }

  private static void check(long items, MessageUnpacker unpacker, int size, int depth) throws Malformed {
    if (depth > DEEPEST) {
      throw new Malformed("nested too deeply");
    }
    if (items < 0 || items > size - unpacker.getTotalReadBytes()) {
      throw new Malformed("longer than its message");
    }
  }
}
