import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack for maps, lists, text, numbers, booleans and null; also the size of a value as JSON. */
final class Pack {
  private Pack() {}

  static byte[] write(Object value) {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      write(new DataOutputStream(bytes), value);
      return bytes.toByteArray();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private static void write(DataOutputStream out, Object value) throws IOException {
    if (value == null) {
      out.writeByte(0xc0);
    } else if (value instanceof Boolean flag) {
      out.writeByte(flag ? 0xc3 : 0xc2);
    } else if (value instanceof Double || value instanceof Float) {
      out.writeByte(0xcb);
      out.writeDouble(((Number) value).doubleValue());
    } else if (value instanceof Number number) {
      writeLong(out, number.longValue());
    } else if (value instanceof String text) {
      byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
      if (utf8.length < 32) {
        out.writeByte(0xa0 | utf8.length);
      } else if (utf8.length < 65536) {
        out.writeByte(0xda);
        out.writeShort(utf8.length);
      } else {
        out.writeByte(0xdb);
        out.writeInt(utf8.length);
      }
      out.write(utf8);
    } else if (value instanceof List<?> list) {
      if (list.size() < 16) {
        out.writeByte(0x90 | list.size());
      } else {
        out.writeByte(0xdd);
        out.writeInt(list.size());
      }
      for (Object item : list) {
        write(out, item);
      }
    } else if (value instanceof Map<?, ?> map) {
      if (map.size() < 16) {
        out.writeByte(0x80 | map.size());
      } else {
        out.writeByte(0xdf);
        out.writeInt(map.size());
      }
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        write(out, entry.getKey());
        write(out, entry.getValue());
      }
    } else {
      throw new IllegalArgumentException("cannot write " + value.getClass());
    }
  }

  private static void writeLong(DataOutputStream out, long number) throws IOException {
    if (number >= 0 && number < 128) {
      out.writeByte((int) number);
    } else if (number >= 0) {
      out.writeByte(0xcf);
      out.writeLong(number);
    } else {
      out.writeByte(0xd3);
      out.writeLong(number);
    }
  }

  /** Reads one map; an empty body counts as an empty map. Throws IllegalArgumentException if malformed. */
  @SuppressWarnings("unchecked")
  static Map<String, Object> read(byte[] bytes) {
    if (bytes.length == 0) {
      return new LinkedHashMap<>();
    }
    try {
      return (Map<String, Object>) read(ByteBuffer.wrap(bytes));
    } catch (RuntimeException e) {
      throw new IllegalArgumentException("malformed body: " + e);
    }
  }

  private static Object read(ByteBuffer in) {
    int type = in.get() & 0xff;
    if (type < 0x80) {
      return (long) type;
    } else if (type < 0x90) {
      return map(in, type & 0xf);
    } else if (type < 0xa0) {
      return list(in, type & 0xf);
    } else if (type < 0xc0) {
      return text(in, type & 0x1f);
    } else if (type >= 0xe0) {
      return (long) (byte) type;
    }
    return switch (type) {
      case 0xc0 -> null;
      case 0xc2 -> false;
      case 0xc3 -> true;
      case 0xca -> (double) in.getFloat();
      case 0xcb -> in.getDouble();
      case 0xcc -> (long) (in.get() & 0xff);
      case 0xcd -> (long) (in.getShort() & 0xffff);
      case 0xce -> in.getInt() & 0xffffffffL;
      case 0xcf, 0xd3 -> in.getLong();
      case 0xd0 -> (long) in.get();
      case 0xd1 -> (long) in.getShort();
      case 0xd2 -> (long) in.getInt();
      case 0xd9 -> text(in, in.get() & 0xff);
      case 0xda -> text(in, in.getShort() & 0xffff);
      case 0xdb -> text(in, in.getInt());
      case 0xdc -> list(in, in.getShort() & 0xffff);
      case 0xdd -> list(in, in.getInt());
      case 0xde -> map(in, in.getShort() & 0xffff);
      case 0xdf -> map(in, in.getInt());
      default -> throw new IllegalArgumentException("type " + type);
    };
  }

  private static String text(ByteBuffer in, int length) {
    byte[] utf8 = new byte[length];
    in.get(utf8);
    return new String(utf8, StandardCharsets.UTF_8);
  }

  private static List<Object> list(ByteBuffer in, int length) {
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < length; i++) {
      list.add(read(in));
    }
    return list;
  }

  private static Map<String, Object> map(ByteBuffer in, int length) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < length; i++) {
      map.put((String) read(in), read(in));
    }
    return map;
  }

  /** Returns the value as JSON, in which form the protocol counts sizes. */
  static String json(Object value) {
    if (value instanceof String text) {
      return '"' + text.replace("\\", "\\\\").replace("\"", "\\\"") + '"';
    }
    if (value instanceof List<?> list) {
      StringBuilder all = new StringBuilder("[");
      for (Object item : list) {
        all.append(all.length() > 1 ? "," : "").append(json(item));
      }
      return all.append(']').toString();
    }
    if (value instanceof Map<?, ?> map) {
      StringBuilder all = new StringBuilder("{");
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        all.append(all.length() > 1 ? "," : "").append(json(entry.getKey()));
        all.append(':').append(json(entry.getValue()));
      }
      return all.append('}').toString();
    }
    return String.valueOf(value);
  }

  static int jsonSize(Object value) {
    return json(value).getBytes(StandardCharsets.UTF_8).length;
  }

  /** Builds a map from alternating keys and values. */
  static Map<String, Object> map(Object... keysAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < keysAndValues.length; i += 2) {
      map.put((String) keysAndValues[i], keysAndValues[i + 1]);
    }
    return map;
  }
}
