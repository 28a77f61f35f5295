package org.eiderstair.core.model;

import java.util.Base64;
import java.util.BitSet;

/**
 * Writes a set of task numbers as text, since the state service holds no binary values: as ranges
 * ({@code r:0-5,9}) or, when that would be longer, as a base64 bitmap ({@code b:...}). The bitmap
 * bounds the length at 16.7 KB for the largest job of 100,000 tasks.
 */
public final class TaskSet {
  private static final String RANGES = "r:";
  private static final String BITMAP = "b:";

  /** Ranges are easier to read, so they may be this much longer than the bitmap. */
  private static final int RANGES_MAY_BE_LONGER_BY = 64;

  private TaskSet() {}

  /** A set of task numbers as text: ranges, or a bitmap if that is a good deal shorter. */
  public static String write(BitSet set) {
    int maxLength = base64Length(set.length()) + RANGES_MAY_BE_LONGER_BY;
    StringBuilder ranges = new StringBuilder(RANGES);
    int from = set.nextSetBit(0);
    while (from >= 0) {
      int to = set.nextClearBit(from) - 1;
      appendRange(ranges, from, to);
      if (ranges.length() > maxLength) {
        return BITMAP + Base64.getEncoder().encodeToString(set.toByteArray());
      }
      from = set.nextSetBit(to + 1);
    }
    return ranges.toString();
  }

  /** Four characters stand for three bytes of eight bits each. */
  private static int base64Length(int bits) {
    return (bits + 23) / 24 * 4;
  }

  private static void appendRange(StringBuilder ranges, int from, int to) {
    if (ranges.length() > RANGES.length()) {
      ranges.append(',');
    }
    ranges.append(from);
    if (to > from) {
      ranges.append('-').append(to);
    }
  }

  /**
   * Reads what {@link #write} wrote.
   *
   * @throws IllegalArgumentException if the text is no task set
   */
  public static BitSet read(String text) {
    if (text.startsWith(BITMAP)) {
      return BitSet.valueOf(Base64.getDecoder().decode(text.substring(BITMAP.length())));
    }
    if (!text.startsWith(RANGES)) {
      throw new IllegalArgumentException("not a task set: " + text);
    }
    BitSet set = new BitSet();
    int start = RANGES.length();
    while (start < text.length()) {
      int comma = text.indexOf(',', start);
      int end = comma < 0 ? text.length() : comma;
      readRange(text, start, end, set);
      start = end + 1;
    }
    return set;
  }

  /** Without a copy of each part: a set may have thousands. */
  private static void readRange(String text, int start, int end, BitSet set) {
    int dash = text.indexOf('-', start);
    if (dash > 0 && dash < end) {
      int from = Integer.parseInt(text, start, dash, 10);
      int to = Integer.parseInt(text, dash + 1, end, 10);
      set.set(from, to + 1);
    } else {
      set.set(Integer.parseInt(text, start, end, 10));
    }
  }
}
