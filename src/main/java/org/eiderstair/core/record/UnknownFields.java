package org.eiderstair.core.record;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Fields of a record that this version does not know. A record that is changed and written again
 * keeps these fields, so that an older version does not remove fields added by a newer one.
 */
public final class UnknownFields {
  /** The empty set of fields. */
  public static final UnknownFields NONE = new UnknownFields(Map.of());

  private final Map<String, Object> fields;

  private UnknownFields(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** Returns the fields whose names are not among the known ones. */
  static UnknownFields of(Map<String, Object> all, Set<String> known) {
    if (known.containsAll(all.keySet())) {
      return NONE;
    }
    Map<String, Object> unknown = new LinkedHashMap<>(all);
    unknown.keySet().removeAll(known);
    return new UnknownFields(unknown);
  }

  /** Adds the fields to a message. */
  void writeTo(Map<String, Object> message) {
    message.putAll(fields);
  }

  @Override
  public boolean equals(Object other) {
    return other instanceof UnknownFields that && fields.equals(that.fields);
  }

  @Override
  public int hashCode() {
    return fields.hashCode();
  }

  @Override
  public String toString() {
    return fields.toString();
  }
}
