package org.eiderstair.protocol;

import java.nio.charset.StandardCharsets;

/**
 * Names of fields and words of states come again and again: each is made into a string once. A slot
 * that is taken stays taken. Two threads may race for a slot: then one string is made twice.
 */
final class InternedNames {
  private static final int MAX_LENGTH = 24;

  /** A power of two. */
  private static final int SLOTS = 512;

  private static final String[] NAMES = new String[SLOTS];

  private InternedNames() {}

  static String of(byte[] utf8) {
    if (utf8.length > MAX_LENGTH) {
      return new String(utf8, StandardCharsets.UTF_8);
    }
    int slot = slot(utf8);
    String known = NAMES[slot];
    if (known != null && isSameAscii(known, utf8)) {
      return known;
    }
    String name = new String(utf8, StandardCharsets.UTF_8);
    if (known == null) {
      NAMES[slot] = name;
    }
    return name;
  }

  private static int slot(byte[] utf8) {
    int hash = utf8.length;
    for (byte b : utf8) {
      hash = hash * 31 + b;
    }
    return (hash ^ hash >>> 15) & SLOTS - 1;
  }

  /** Other text than ASCII is never the same, and so not shared. */
  private static boolean isSameAscii(String known, byte[] utf8) {
    if (known.length() != utf8.length) {
      return false;
    }
    for (int i = 0; i < utf8.length; i++) {
      if (known.charAt(i) != utf8[i]) {
        return false;
      }
    }
    return true;
  }
}
