package org.eiderstair.protocol;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Random;

/**
 * Encodes a message in one of its equivalent MessagePack forms: fields in any order, among fields
 * that no receiver knows, with every length of header, and with any encoding of a number.
 */
public final class MessageSpelling {
  private static final int DEEP_NESTING = 2000;
  private static final int MAX_UNKNOWN_FIELDS = 4;
  private static final double LARGEST_UNSIGNED = 0x1p64;

  private final Random random;
  private final ByteArrayOutputStream bytes = new ByteArrayOutputStream();

  private MessageSpelling(long seed) {
    random = new Random(seed);
  }

  /** Returns the message in the form that the seed selects. */
  public static byte[] encode(Map<String, ?> message, long seed) {
    MessageSpelling spelling = new MessageSpelling(seed);
    spelling.map(message);
    return spelling.bytes.toByteArray();
  }

  private void map(Map<?, ?> map) {
    List<Map.Entry<?, ?>> known = new ArrayList<>(map.entrySet());
    Collections.shuffle(known, random);
    int unknown = random.nextInt(MAX_UNKNOWN_FIELDS);
    header(known.size() + unknown, 0x80, 15, 0xde);
    for (Map.Entry<?, ?> field : known) {
      while (unknown > 0 && random.nextBoolean()) {
        unknownField();
        unknown--;
      }
      string((String) field.getKey());
      value(field.getValue());
    }
    for (; unknown > 0; unknown--) {
      unknownField();
    }
  }

  /** Writes a field whose name may occur several times in a message. */
  private void unknownField() {
    string("x_" + random.nextInt(3));
    raw(unknownValue(random.nextInt(12)));
  }

  private static byte[] unknownValue(int kind) {
    return switch (kind) {
      case 0 -> bytes(0xcf, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff, 0xff);
      case 1 -> nested(0x91);
      case 2 -> nested(0x81, 0xa1, 'k');
      case 3 -> bytes(0xc4, 3, 1, 2, 3);
      case 4 -> bytes(0xd6, 0xff, 1, 2, 3, 4);
      case 5 -> bytes(0xc7, 2, 5, 9, 9);
      case 6 -> bytes(0x82, 0x01, 0x02, 0xc0, 0x90);
      case 7 -> bytes(0xcb, 0x7f, 0xf8, 0, 0, 0, 0, 0, 0);
      case 8 -> bytes(0xd3, 0x80, 0, 0, 0, 0, 0, 0, 0);
      case 9 -> bytes(0xa2, 0xff, 0xfe);
      case 10 -> bytes(0xdd, 0, 0, 0, 2, 0xc0, 0xdf, 0, 0, 0, 1, 0xa0, 0xc3);
      default -> bytes(0xc0);
    };
  }

  private static byte[] nested(int... opening) {
    ByteArrayOutputStream value = new ByteArrayOutputStream();
    for (int i = 0; i < DEEP_NESTING; i++) {
      value.writeBytes(bytes(opening));
    }
    value.write(0xc0);
    return value.toByteArray();
  }

  private static byte[] bytes(int... values) {
    byte[] result = new byte[values.length];
    for (int i = 0; i < values.length; i++) {
      result[i] = (byte) values[i];
    }
    return result;
  }

  private void value(Object value) {
    if (value == null) {
      bytes.write(0xc0);
    } else if (value instanceof String text) {
      string(text);
    } else if (value instanceof Boolean flag) {
      bytes.write(flag ? 0xc3 : 0xc2);
    } else if (value instanceof Number number) {
      number(number);
    } else if (value instanceof Map<?, ?> map) {
      map(map);
    } else if (value instanceof List<?> list) {
      header(list.size(), 0x90, 15, 0xdc);
      list.forEach(this::value);
    } else {
      throw new IllegalArgumentException("cannot encode a value of " + value.getClass());
    }
  }

  private void string(String text) {
    byte[] utf8 = text.getBytes(StandardCharsets.UTF_8);
    if (utf8.length < 256 && random.nextInt(4) == 0) {
      raw(bytes(0xd9, utf8.length));
    } else {
      header(utf8.length, 0xa0, 31, 0xda);
    }
    raw(utf8);
  }

  /** Writes the header of a string, list or map in one of its forms that can hold the size. */
  private void header(int size, int shortForm, int shortLimit, int longForm) {
    int form = random.nextInt(3);
    if (form == 0 && size <= shortLimit) {
      bytes.write(shortForm | size);
    } else if (form <= 1 && size <= 0xffff) {
      bytes.write(longForm);
      raw(ByteBuffer.allocate(2).putShort((short) size).array());
    } else {
      bytes.write(longForm + 1);
      raw(ByteBuffer.allocate(4).putInt(size).array());
    }
  }

  private void number(Number number) {
    double real = number.doubleValue();
    boolean whole = real == Math.rint(real) && Math.abs(real) < LARGEST_UNSIGNED;
    boolean exact = !(number instanceof Long) || number.longValue() == (long) real;
    if (whole && (!exact || random.nextBoolean())) {
      integer(number.longValue());
    } else if ((float) real == real && random.nextBoolean()) {
      bytes.write(0xca);
      raw(ByteBuffer.allocate(4).putFloat((float) real).array());
    } else {
      bytes.write(0xcb);
      raw(ByteBuffer.allocate(8).putDouble(real).array());
    }
  }

  private void integer(long value) {
    int width = random.nextInt(5);
    boolean signed = value < 0 || random.nextBoolean();
    if (width == 0 && value >= -32 && value < 128) {
      bytes.write((int) value);
    } else if (width <= 1 && value >= (signed ? -128 : 0) && value < (signed ? 128 : 256)) {
      raw(bytes(signed ? 0xd0 : 0xcc, (int) value));
    } else if (width <= 2 && value >= (signed ? -32768 : 0) && value < (signed ? 32768 : 65536)) {
      bytes.write(signed ? 0xd1 : 0xcd);
      raw(ByteBuffer.allocate(2).putShort((short) value).array());
    } else if (width <= 3
        && value >= (signed ? Integer.MIN_VALUE : 0)
        && value <= (signed ? Integer.MAX_VALUE : 0xffffffffL)) {
      bytes.write(signed ? 0xd2 : 0xce);
      raw(ByteBuffer.allocate(4).putInt((int) value).array());
    } else {
      bytes.write(signed ? 0xd3 : 0xcf);
      raw(ByteBuffer.allocate(8).putLong(value).array());
    }
  }

  private void raw(byte[] content) {
    bytes.writeBytes(content);
  }
}
