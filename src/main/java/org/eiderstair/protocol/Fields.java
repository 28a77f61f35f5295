package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/** Typed, checked access to a message's fields. */
final class Fields {
  private static final double LARGEST = 1e9;
  private static final int MAX_TEXT = 1000;

  private final Map<String, Object> map;

  Fields(Map<String, Object> map) {
    this.map = map;
  }

  @SuppressWarnings("unchecked")
  static Fields of(Object value, String where) throws MalformedMessageException {
    if (value instanceof Map<?, ?> map) {
      return new Fields((Map<String, Object>) map);
    }
    throw new MalformedMessageException(where + " is not a map");
  }

  boolean has(String name) {
    return map.get(name) != null;
  }

  Object raw(String name) {
    return map.get(name);
  }

  String text(String name) throws MalformedMessageException {
    return text(map.get(name), name);
  }

  static String text(Object value, String name) throws MalformedMessageException {
    if (value instanceof String text && !text.isEmpty() && text.length() <= MAX_TEXT) {
      return text;
    }
    throw new MalformedMessageException(name + " is missing or not text");
  }

  String textOrNull(String name) throws MalformedMessageException {
    return map.get(name) == null ? null : text(name);
  }

  long whole(String name) throws MalformedMessageException {
    return whole(map.get(name), name);
  }

  static long whole(Object value, String name) throws MalformedMessageException {
    if (value instanceof Long whole && whole >= 0) {
      return whole;
    }
    throw new MalformedMessageException(name + " is missing or not a count");
  }

  double amount(String name) throws MalformedMessageException {
    if (map.get(name) instanceof Number number) {
      double amount = number.doubleValue();
      if (amount >= 0 && amount <= LARGEST) {
        return amount;
      }
    }
    throw new MalformedMessageException(name + " is missing or not an amount");
  }

  /** Seconds as whole microseconds. */
  long micros(String name) throws MalformedMessageException {
    return Math.round(amount(name) * 1e6);
  }

  long microsOr(String name, long otherwise) throws MalformedMessageException {
    return map.get(name) == null ? otherwise : micros(name);
  }

  boolean flag(String name) throws MalformedMessageException {
    if (map.get(name) instanceof Boolean flag) {
      return flag;
    }
    throw new MalformedMessageException(name + " is missing or not true or false");
  }

  List<?> list(String name) throws MalformedMessageException {
    if (map.get(name) instanceof List<?> list) {
      return list;
    }
    throw new MalformedMessageException(name + " is missing or not a list");
  }

  List<String> texts(String name) throws MalformedMessageException {
    List<String> texts = new ArrayList<>();
    for (Object item : list(name)) {
      if (!(item instanceof String text)) {
        throw new MalformedMessageException(name + " holds something that is not text");
      }
      texts.add(text);
    }
    return texts;
  }
}
