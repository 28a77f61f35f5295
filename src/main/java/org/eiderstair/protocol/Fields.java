package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Typed, checked access to the fields of a message. */
final class Fields {
  private static final double MAX_AMOUNT = 1e9;
  private static final int MAX_TEXT_LENGTH = 1000;
  private static final double MICROS_PER_SECOND = 1e6;

  private final Map<String, Object> values;

  Fields(Map<String, Object> values) {
    this.values = values;
  }

  /** The fields of one item of the list that {@code listName} names. */
  @SuppressWarnings("unchecked")
  static Fields of(Object item, String listName) throws MalformedMessageException {
    if (item instanceof Map<?, ?> map) {
      return new Fields((Map<String, Object>) map);
    }
    throw new MalformedMessageException(listName, "is not a map");
  }

  boolean has(String name) {
    return values.get(name) != null;
  }

  /** The value as it was read, unchecked; null when there is none. */
  Object raw(String name) {
    return values.get(name);
  }

  /** Whether the field is there and true. */
  boolean isTrue(String name) {
    return Boolean.TRUE.equals(values.get(name));
  }

  String text(String name) throws MalformedMessageException {
    return text(values.get(name), name);
  }

  static String text(Object value, String name) throws MalformedMessageException {
    if (value instanceof String text && !text.isEmpty() && text.length() <= MAX_TEXT_LENGTH) {
      return text;
    }
    throw new MalformedMessageException(name, "is missing or not text");
  }

  String textOrNull(String name) throws MalformedMessageException {
    return has(name) ? text(name) : null;
  }

  long count(String name) throws MalformedMessageException {
    return count(values.get(name), name);
  }

  static long count(Object value, String name) throws MalformedMessageException {
    if (value instanceof Long count && count >= 0) {
      return count;
    }
    throw new MalformedMessageException(name, "is missing or not a count");
  }

  double amount(String name) throws MalformedMessageException {
    if (values.get(name) instanceof Number number) {
      double amount = number.doubleValue();
      if (amount >= 0 && amount <= MAX_AMOUNT) {
        return amount;
      }
    }
    throw new MalformedMessageException(name, "is missing or not an amount");
  }

  double amountOrZero(String name) throws MalformedMessageException {
    return has(name) ? amount(name) : 0;
  }

  /** Seconds on the wire, as whole microseconds. */
  long micros(String name) throws MalformedMessageException {
    return Math.round(amount(name) * MICROS_PER_SECOND);
  }

  long microsOr(String name, long defaultMicros) throws MalformedMessageException {
    return has(name) ? micros(name) : defaultMicros;
  }

  boolean flag(String name) throws MalformedMessageException {
    if (values.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw new MalformedMessageException(name, "is missing or not true or false");
  }

  List<?> list(String name) throws MalformedMessageException {
    if (values.get(name) instanceof List<?> list) {
      return list;
    }
    throw new MalformedMessageException(name, "is missing or not a list");
  }

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
