package org.eiderstair.protocol;

import java.nio.charset.StandardCharsets;

/**
 * A cache of strings for field names and state values, which recur in every message. A filled slot
 * is not replaced. If two threads fill an empty slot at the same time, the string written last
 * stays in the slot.
 */
final class InternedNames {
  private static final int MAX_LENGTH_BYTES = 24;

  /** Must be a power of two. */
  private static final int SLOT_COUNT = 512;

  private static final String[] SLOTS = new String[SLOT_COUNT];

  private InternedNames() {}

  /**
   * Returns the decoded text: the cached string if there is one, or else a new string. Texts above
   * the maximum length are never cached.
   */
  static String of(byte[] utf8) {
    if (utf8.length > MAX_LENGTH_BYTES) {
      return new String(utf8, StandardCharsets.UTF_8);
    }
    int slot = slot(utf8);
    String cached = SLOTS[slot];
    if (cached != null && isSameAscii(cached, utf8)) {
      return cached;
    }
    String name = new String(utf8, StandardCharsets.UTF_8);
    if (cached == null) {
      SLOTS[slot] = name;
    }
    return name;
  }

  private static int slot(byte[] utf8) {
    int hash = utf8.length;
    for (byte b : utf8) {
      hash = hash * 31 + b;
    }
    return (hash ^ hash >>> 15) & SLOT_COUNT - 1;
  }

  /**
   * Returns whether the bytes are the ASCII form of the cached text. Text with non-ASCII characters
   * never matches, so its strings are never shared.
   */
  private static boolean isSameAscii(String cached, byte[] utf8) {
    if (cached.length() != utf8.length) {
      return false;
    }
    for (int i = 0; i < utf8.length; i++) {
      if (cached.charAt(i) != utf8[i]) {
        return false;
      }
    }
    return true;
  }
}
