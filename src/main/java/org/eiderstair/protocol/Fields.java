package org.eiderstair.protocol;

import java.math.BigInteger;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Typed and checked access to the fields of a message. A getter throws an exception that names the
 * field when the value is missing or invalid, unless its documentation says otherwise.
 */
final class Fields {
  private static final double MAX_AMOUNT = 1e9;

  /** In UTF-16 code units. */
  private static final int MAX_TEXT_LENGTH = 1000;

  private static final double MICROS_PER_SECOND = 1e6;

  /** The smallest number above the range of a count. */
  private static final double COUNT_LIMIT = 0x1p63;

  private final Map<String, Object> values;

  Fields(Map<String, Object> values) {
    this.values = values;
  }

  /**
   * Returns the fields of one item of a list.
   *
   * @param listName the name of the list on the wire, for the exception's message
   */
  @SuppressWarnings("unchecked")
  static Fields of(Object item, String listName) throws MalformedMessageException {
    if (item instanceof Map<?, ?> map) {
      return new Fields((Map<String, Object>) map);
    }
    throw new MalformedMessageException(listName, "is not a map");
  }

  /** Returns whether the field exists and is not null. */
  boolean has(String name) {
    return values.get(name) != null;
  }

  /** Returns the decoded value without a check, or null when the field is missing. */
  Object raw(String name) {
    return values.get(name);
  }

  /** Returns whether the field is true. A missing or non-boolean field counts as false. */
  boolean isTrue(String name) {
    return Boolean.TRUE.equals(values.get(name));
  }

  /** Returns a text that is not empty and not too long. */
  String text(String name) throws MalformedMessageException {
    return text(values.get(name), name);
  }

  static String text(Object value, String name) throws MalformedMessageException {
    if (value instanceof String text && !text.isEmpty() && text.length() <= MAX_TEXT_LENGTH) {
      return text;
    }
    throw new MalformedMessageException(name, "is missing or not text");
  }

  /** Returns the text, or null when the field is missing. */
  String textOrNull(String name) throws MalformedMessageException {
    return has(name) ? text(name) : null;
  }

  /** Returns a whole number that is not negative, in whichever form of number it was sent. */
  long count(String name) throws MalformedMessageException {
    return count(values.get(name), name);
  }

  static long count(Object value, String name) throws MalformedMessageException {
    if (value instanceof Long count && count >= 0) {
      return count;
    }
    if (value instanceof Double real
        && real >= 0
        && real < COUNT_LIMIT
        && real == Math.rint(real)) {
      return real.longValue();
    }
    throw new MalformedMessageException(name, "is missing or not a count");
  }

  /**
   * Returns an identifier, an integer below 2^64, as its 64 bits. Identifiers are only compared for
   * equality, and must be sent with {@link #unsigned}.
   */
  long identifier(String name) throws MalformedMessageException {
    if (values.get(name) instanceof BigInteger large) {
      return large.longValue();
    }
    return count(name);
  }

  /** Returns the integer below 2^64 that the 64 bits stand for. */
  static Number unsigned(long bits) {
    return bits >= 0 ? (Number) bits : new BigInteger(Long.toUnsignedString(bits));
  }

  /** Returns a number from 0 to {@value #MAX_AMOUNT}, which may have a fraction. */
  double amount(String name) throws MalformedMessageException {
    if (values.get(name) instanceof Number number) {
      double amount = number.doubleValue();
      if (amount >= 0 && amount <= MAX_AMOUNT) {
        return amount;
      }
    }
    throw new MalformedMessageException(name, "is missing or not an amount");
  }

  /** Returns the amount, or 0 when the field is missing. */
  double amountOrZero(String name) throws MalformedMessageException {
    return has(name) ? amount(name) : 0;
  }

  /** Returns a duration, which is in seconds on the wire, in whole microseconds. */
  long micros(String name) throws MalformedMessageException {
    return Math.round(amount(name) * MICROS_PER_SECOND);
  }

  /** Returns the duration in microseconds, or the default when the field is missing. */
  long microsOrDefault(String name, long defaultMicros) throws MalformedMessageException {
    return has(name) ? micros(name) : defaultMicros;
  }

  /** Returns a boolean. */
  boolean flag(String name) throws MalformedMessageException {
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw new MalformedMessageException(name, "is missing or not true or false");
  }

  /** Returns a list, whose items are not checked. */
  List<?> list(String name) throws MalformedMessageException {
    if (values.get(name) instanceof List<?> list) {
      return list;
    }
    throw new MalformedMessageException(name, "is missing or not a list");
  }

  /** Returns a list of texts, which may be empty. Neither its size nor the texts are bounded. */
  List<String> texts(String name) throws MalformedMessageException {
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text)) {
        throw new MalformedMessageException(name, "holds something that is not text");
      }
      texts.add(text);
    }
    return texts;
  }
}
