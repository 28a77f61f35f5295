package org.eiderstair.core.model;

import java.util.Base64;
import java.util.BitSet;

/**
 * Writes a set of task numbers as text, since the state service holds no binary values: as ranges
 * ({@code r:0-5,9}) or, when that would be longer, as a base64 bitmap ({@code b:...}). The bitmap
 * bounds the length at 16.7 KB for the largest job of 100,000 tasks.
 */
public final class TaskSet {
  private TaskSet() {}

  /** A set of task numbers as text: ranges or a bitmap, whichever is shorter. */
  public static String write(BitSet set) {
    int bitmapLength = (set.length() + 23) / 24 * 4;
    StringBuilder ranges = new StringBuilder("r:");
    for (int from = set.nextSetBit(0); from >= 0; ) {
      int to = set.nextClearBit(from) - 1;
      if (ranges.length() > 2) {
        ranges.append(',');
      }
      ranges.append(from);
      if (to > from) {
        ranges.append('-').append(to);
      }
      if (ranges.length() > bitmapLength + 64) {
        return "b:" + Base64.getEncoder().encodeToString(set.toByteArray());
      }
      from = set.nextSetBit(to + 1);
    }
    return ranges.toString();
  }

  /** Reads what {@link #write} wrote. */
  public static BitSet read(String text) {
    if (text.startsWith("b:")) {
      return BitSet.valueOf(Base64.getDecoder().decode(text.substring(2)));
    }
    if (!text.startsWith("r:")) {
      throw new IllegalArgumentException("not a task set: " + text);
    }
    BitSet set = new BitSet();
    int at = 2;
    while (at < text.length()) {
      int end = text.indexOf(',', at);
      end = end < 0 ? text.length() : end;
      int dash = text.indexOf('-', at);
      if (dash > 0 && dash < end) {
        set.set(
            Integer.parseInt(text, at, dash, 10), Integer.parseInt(text, dash + 1, end, 10) + 1);
      } else {
        set.set(Integer.parseInt(text, at, end, 10));
      }
      at = end + 1;
    }
    return set;
  }
}
