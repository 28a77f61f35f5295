import java.io.ByteArrayOutputStream;
import java.io.DataOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** MessagePack for maps, lists, text, numbers, booleans and null, and the size of the JSON form. */
final class MsgPack {
  private MsgPack() {}

  static byte[] write(Object value) {
    try {
      ByteArrayOutputStream bytes = new ByteArrayOutputStream();
      write(new DataOutputStream(bytes), value);
      return bytes.toByteArray();
    } catch (IOException e) {
      throw new IllegalStateException(e);
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
      long whole = number.longValue();
      if (whole >= 0 && whole < 128) {
        out.writeByte((int) whole);
      } else {
        out.writeByte(0xd3);
        out.writeLong(whole);
      }
    } else if (value instanceof String text) {
      byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
      if (utf8.length < 32) {
        out.writeByte(0xa0 | utf8.length);
      } else {
        out.writeByte(0xdb);
        out.writeInt(utf8.length);
      }
      out.write(utf8);
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
    } else {
      throw new IllegalArgumentException("cannot encode " + value.getClass());
    }
  }

  static Object read(byte[] bytes) {
    return read(ByteBuffer.wrap(bytes));
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> readMap(byte[] bytes) {
    return bytes.length == 0 ? new LinkedHashMap<>() : (Map<String, Object>) read(bytes);
  }

  private static Object read(ByteBuffer in) {
    int b = in.get() & 0xff;
    if (b < 0x80) {
      return (long) b;
    } else if (b >= 0xe0) {
      return (long) (byte) b;
    } else if (b < 0x90) {
      return map(in, b & 0x0f);
    } else if (b < 0xa0) {
      return list(in, b & 0x0f);
    } else if (b < 0xc0) {
      return text(in, b & 0x1f);
    }
    return switch (b) {
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
      default -> throw new IllegalArgumentException("byte " + b);
    };
  }

  private static String text(ByteBuffer in, int length) {
    byte[] utf8 = new byte[length];
    in.get(utf8);
    return new String(utf8, StandardCharsets.UTF_8);
  }

  private static List<Object> list(ByteBuffer in, int size) {
    List<Object> list = new ArrayList<>();
    for (int i = 0; i < size; i++) {
      list.add(read(in));
    }
    return list;
  }

  private static Map<String, Object> map(ByteBuffer in, int size) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < size; i++) {
      String name = (String) read(in);
      map.put(name, read(in));
    }
    return map;
  }

  /** The length of the shortest JSON form, by which the protocol counts sizes. */
  static int jsonSize(Object value) {
    if (value == null) {
      return 4;
    } else if (value instanceof String text) {
      return text.getBytes(StandardCharsets.UTF_8).length + 2;
    } else if (value instanceof Map<?, ?> map) {
      int size = 2 + Math.max(0, map.size() - 1);
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        size += jsonSize(entry.getKey()) + 1 + jsonSize(entry.getValue());
      }
      return size;
    } else if (value instanceof List<?> list) {
      int size = 2 + Math.max(0, list.size() - 1);
      for (Object item : list) {
        size += jsonSize(item);
      }
      return size;
    }
    return value.toString().length();
  }
}
