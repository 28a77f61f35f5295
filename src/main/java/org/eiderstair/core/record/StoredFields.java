package org.eiderstair.core.record;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads the fields of a stored value. Those that always had a number or a flag may be missing, and
 * count as zero or false also when they hold something else; a text that holds something else makes
 * the value unreadable.
 */
final class StoredFields {
  private final Map<String, Object> fields;

  StoredFields(Map<String, Object> fields) {
    this.fields = fields;
  }

  boolean has(String field) {
    return fields.containsKey(field);
  }

  private static UnreadableValueException unreadable(String field, String expected) {
    return new UnreadableValueException(field + ": not " + expected);
  }

  /** A text; null when it is missing. */
  String textOrNull(String field) {
    Object value = fields.get(field);
    if (value == null || value instanceof String) {
      return (String) value;
    }
    throw unreadable(field, "a text");
  }

  /** A text; null when there is none or something else. */
  String textIfAny(String field) {
    return fields.get(field) instanceof String text ? text : null;
  }

  /** A text that is there, and may be empty. */
  String text(String field) {
    if (fields.get(field) instanceof String text) {
      return text;
    }
    throw unreadable(field, "a text");
  }

  /** A text that is there and not empty. */
  String name(String field) {
    String text = text(field);
    if (text.isEmpty()) {
      throw unreadable(field, "a text");
    }
    return text;
  }

  /** A constant of an enumeration, in any case. */
  <E extends Enum<E>> E constant(String field, Class<E> type) {
    return exactConstant(field, text(field).toUpperCase(Locale.ROOT), type);
  }

  /** A constant of an enumeration, as it is written in the code. */
  <E extends Enum<E>> E exactConstant(String field, Class<E> type) {
    return exactConstant(field, text(field), type);
  }

  private static <E extends Enum<E>> E exactConstant(String field, String name, Class<E> type) {
    try {
      return Enum.valueOf(type, name);
    } catch (IllegalArgumentException e) {
      throw unreadable(field, "a known word: " + name);
    }
  }

  /** A real number, or 0. */
  double real(String field) {
    return fields.get(field) instanceof Number number ? number.doubleValue() : 0;
  }

  /** An integer, or another when there is none. */
  long wholeOr(String field, long otherwise) {
    return fields.get(field) instanceof Number number ? number.longValue() : otherwise;
  }

  /** An integer that is there. */
  long whole(String field) {
    if (fields.get(field) instanceof Number number) {
      return number.longValue();
    }
    throw unreadable(field, "a number");
  }

  /** Whether the field is there and true. */
  boolean flag(String field) {
    return Boolean.TRUE.equals(fields.get(field));
  }

  /** The text in a list; null when the list is missing. What is no text is passed over. */
  List<String> textsOrNull(String field) {
    if (fields.get(field) == null) {
      return null;
    }
    List<String> texts = new ArrayList<>();
    for (Object item : list(field)) {
      if (item instanceof String text) {
        texts.add(text);
      }
    }
    return Collections.unmodifiableList(texts);
  }

  /** A list that is there and holds nothing but text. */
  List<String> texts(String field) {
    List<String> texts = new ArrayList<>();
    if (!(fields.get(field) instanceof List<?> items)) {
      throw unreadable(field, "a list of texts");
    }
    for (Object item : items) {
      if (!(item instanceof String text)) {
        throw unreadable(field, "a list of texts");
      }
      texts.add(text);
    }
    return Collections.unmodifiableList(texts);
  }

  /** The maps in a list; none when the list is missing. */
  @SuppressWarnings("unchecked")
  List<StoredFields> records(String field) {
    if (!fields.containsKey(field)) {
      return List.of();
    }
    List<StoredFields> records = new ArrayList<>();
    for (Object item : list(field)) {
      if (!(item instanceof Map<?, ?>)) {
        throw unreadable(field, "a list of maps");
      }
      records.add(new StoredFields((Map<String, Object>) item));
    }
    return records;
  }

  private List<?> list(String field) {
    if (fields.get(field) instanceof List<?> list) {
      return list;
    }
    throw unreadable(field, "a list");
  }
}
