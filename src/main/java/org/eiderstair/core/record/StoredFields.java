package org.eiderstair.core.record;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/**
 * Reads typed fields of a stored value. Most number fields and all flags may be missing. A field
 * that is missing or of another type then counts as a default. A string field of another type makes
 * the value unreadable, except when read by {@link #stringIfValid}.
 */
final class StoredFields {
  private final Map<String, Object> fields;

  StoredFields(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** Returns whether the field is present, even with a null value. */
  boolean has(String field) {
    return fields.containsKey(field);
  }

  private static UnreadableValueException unreadable(String field, String expected) {
    return new UnreadableValueException(field + ": expected " + expected);
  }

  /**
   * Returns a string, or null when the field is missing.
   *
   * @throws UnreadableValueException when the field has another type
   */
  String stringOrNull(String field) {
    Object value = fields.get(field);
    if (value == null || value instanceof String) {
      return (String) value;
    }
    throw unreadable(field, "a string");
  }

  /** Returns a string, or null when the field is missing or has another type. */
  String stringIfValid(String field) {
    return fields.get(field) instanceof String text ? text : null;
  }

  /**
   * Returns a string, which may be empty.
   *
   * @throws UnreadableValueException when the field is missing or has another type
   */
  String requiredString(String field) {
    if (fields.get(field) instanceof String text) {
      return text;
    }
    throw unreadable(field, "a string");
  }

  /**
   * Returns a string that is not empty.
   *
   * @throws UnreadableValueException when the field is missing, empty or has another type
   */
  String requiredNonEmptyString(String field) {
    String text = requiredString(field);
    if (text.isEmpty()) {
      throw unreadable(field, "a non-empty string");
    }
    return text;
  }

  /**
   * Returns an enum constant by its name, ignoring case.
   *
   * @throws UnreadableValueException when the field does not name a constant
   */
  <E extends Enum<E>> E constantIgnoringCase(String field, Class<E> type) {
    return constant(field, requiredString(field).toUpperCase(Locale.ROOT), type);
  }

  /**
   * Returns an enum constant by its exact name.
   *
   * @throws UnreadableValueException when the field does not name a constant
   */
  <E extends Enum<E>> E constant(String field, Class<E> type) {
    return constant(field, requiredString(field), type);
  }

  private static <E extends Enum<E>> E constant(String field, String name, Class<E> type) {
    try {
      return Enum.valueOf(type, name);
    } catch (IllegalArgumentException e) {
      throw unreadable(field, "a constant of " + type.getSimpleName() + ", got " + name);
    }
  }

  /** Returns a number, or 0 when the field is missing or has another type. */
  double doubleOrZero(String field) {
    return fields.get(field) instanceof Number number ? number.doubleValue() : 0;
  }

  /** Returns an integer, or the default when the field is missing or has another type. */
  long longOr(String field, long defaultValue) {
    return fields.get(field) instanceof Number number ? number.longValue() : defaultValue;
  }

  /**
   * Returns an integer.
   *
   * @throws UnreadableValueException when the field is missing or has another type
   */
  long requiredLong(String field) {
    if (fields.get(field) instanceof Number number) {
      return number.longValue();
    }
    throw unreadable(field, "a number");
  }

  /** Returns whether the field is present and true. */
  boolean flag(String field) {
    return Boolean.TRUE.equals(fields.get(field));
  }

  /**
   * Returns the strings of a list, or null when the field is missing. Skips items of other types.
   *
   * @throws UnreadableValueException when the field is not a list
   */
  List<String> stringsOrNull(String field) {
    if (fields.get(field) == null) {
      return null;
    }
    List<String> strings = new ArrayList<>();
    for (Object item : list(field)) {
      if (item instanceof String text) {
        strings.add(text);
      }
    }
    return Collections.unmodifiableList(strings);
  }

  /**
   * Returns a list of strings.
   *
   * @throws UnreadableValueException when the field is missing, is not a list, or has an item that
   *     is not a string
   */
  List<String> requiredStrings(String field) {
    List<String> strings = new ArrayList<>();
    if (!(fields.get(field) instanceof List<?> items)) {
      throw unreadable(field, "a list of strings");
    }
    for (Object item : items) {
      if (!(item instanceof String text)) {
        throw unreadable(field, "a list of strings");
      }
      strings.add(text);
    }
    return Collections.unmodifiableList(strings);
  }

  /**
   * Returns the maps of a list; empty when the field is missing.
   *
   * @throws UnreadableValueException when the field is not a list or has an item that is not a map
   */
  @SuppressWarnings("unchecked")
  List<StoredFields> mapsOrEmpty(String field) {
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
