package org.eiderstair.core.state;

import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Recently removed keys with their versions, so that a late read or list does not restore a key.
 */
final class RemovedKeys {
  /** Far more keys than a late read can still return. */
  private static final int MAX_KEYS = 10_000;

  private final Map<String, Long> versions = new LinkedHashMap<>();

  /** Records a removed key; drops the oldest entry when the limit is exceeded. */
  void add(String key, long version) {
    versions.put(key, version);
    if (versions.size() > MAX_KEYS) {
      versions.remove(versions.keySet().iterator().next());
    }
  }

  /** Returns whether the key was recently removed at this version or a later one. */
  boolean isRemovedSince(String key, long version) {
    return version <= versions.getOrDefault(key, 0L);
  }
}
