package org.eiderstair.core.provisioning;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

/**
 * Reads fields of provisioning records; what cannot be read is an IllegalArgumentException that
 * names the field.
 */
final class ProvisioningFields {
  private ProvisioningFields() {}

  static String text(Map<String, Object> m, String field) {
    if (m.get(field) instanceof String s && !s.isEmpty()) {
      return s;
    }
    throw new IllegalArgumentException(field + ": not a text");
  }

  static long whole(Map<String, Object> m, String field) {
    if (m.get(field) instanceof Number n) {
      return n.longValue();
    }
    throw new IllegalArgumentException(field + ": not a number");
  }

  static List<String> texts(Map<String, Object> m, String field) {
    List<String> texts = new ArrayList<>();
    if (m.get(field) instanceof List<?> list) {
      for (Object o : list) {
        if (!(o instanceof String s)) {
          throw new IllegalArgumentException(field + ": not a list of texts");
        }
        texts.add(s);
      }
      return texts;
    }
    throw new IllegalArgumentException(field + ": not a list of texts");
  }
}
