package org.eiderstair.core.state;

import java.util.LinkedHashMap;
import java.util.Map;

/** Keys that were removed lately, so that a late read or list does not bring one back. */
final class RemovedKeys {
  /** Far more than a late read can still be about. */
  private static final int MAX_KEYS = 10_000;

  private final Map<String, Long> versions = new LinkedHashMap<>();

  void add(String key, long version) {
    versions.put(key, version);
    if (versions.size() > MAX_KEYS) {
      versions.remove(versions.keySet().iterator().next());
    }
  }

  /** Whether the key was removed at that version or later. */
  boolean isRemovedSince(String key, long version) {
    return version <= versions.getOrDefault(key, 0L);
  }
}
