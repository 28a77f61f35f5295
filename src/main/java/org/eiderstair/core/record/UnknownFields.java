package org.eiderstair.core.record;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Set;

/**
 * Fields of a record that this version does not know. They are kept where a record is changed and
 * written again, so that an older version does not take from it what a newer one has added.
 */
public final class UnknownFields {
  /** No such fields. */
  public static final UnknownFields NONE = new UnknownFields(Map.of());

  private final Map<String, Object> fields;

  private UnknownFields(Map<String, Object> fields) {
    this.fields = fields;
  }

  /** The fields that are not among the known ones. */
  static UnknownFields of(Map<String, Object> all, Set<String> known) {
    if (known.containsAll(all.keySet())) {
      return NONE;
    }
    Map<String, Object> unknown = new LinkedHashMap<>(all);
    unknown.keySet().removeAll(known);
    return new UnknownFields(unknown);
  }

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
