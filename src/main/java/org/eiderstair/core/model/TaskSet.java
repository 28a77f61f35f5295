package org.eiderstair.core.model;

import java.util.Base64;
import java.util.BitSet;

/**
 * Encodes a set of task indexes as text, since the state service holds no binary values. The text
 * contains ranges ({@code r:0-5,9}) or, if ranges would be much longer, a base64 bitmap ({@code
 * b:...}). The bitmap bounds the length to 16.7 KB for the largest job of 100,000 tasks.
 */
public final class TaskSet {
  private static final String RANGES_PREFIX = "r:";
  private static final String BITMAP_PREFIX = "b:";

  /** The ranges may be longer than the bitmap by this much, since ranges are easier to read. */
  private static final int MAX_EXTRA_RANGE_CHARACTERS = 64;

  private TaskSet() {}

  /** Encodes a set of task indexes as ranges, or as a bitmap if that is much shorter. */
  public static String write(BitSet set) {
    int maxLength = base64Length(set.length()) + MAX_EXTRA_RANGE_CHARACTERS;
    StringBuilder ranges = new StringBuilder(RANGES_PREFIX);
    int from = set.nextSetBit(0);
    while (from >= 0) {
      int to = set.nextClearBit(from) - 1;
      appendRange(ranges, from, to);
      if (ranges.length() > maxLength) {
        return BITMAP_PREFIX + Base64.getEncoder().encodeToString(set.toByteArray());
      }
      from = set.nextSetBit(to + 1);
    }
    return ranges.toString();
  }

  /** Returns the base64 length of a bitmap: four characters encode 24 bits. */
  private static int base64Length(int bits) {
    return (bits + 23) / 24 * 4;
  }

  private static void appendRange(StringBuilder ranges, int from, int to) {
    if (ranges.length() > RANGES_PREFIX.length()) {
      ranges.append(',');
    }
    ranges.append(from);
    if (to > from) {
      ranges.append('-').append(to);
    }
  }

  /**
   * Decodes a text that {@link #write} produced.
   *
   * @throws IllegalArgumentException if the text is not an encoded task set
   */
  public static BitSet read(String text) {
    if (text.startsWith(BITMAP_PREFIX)) {
      return BitSet.valueOf(Base64.getDecoder().decode(text.substring(BITMAP_PREFIX.length())));
    }
    if (!text.startsWith(RANGES_PREFIX)) {
      throw new IllegalArgumentException("task set must start with r: or b: but is " + text);
    }
    BitSet set = new BitSet();
    int start = RANGES_PREFIX.length();
    while (start < text.length()) {
      int comma = text.indexOf(',', start);
      int end = comma < 0 ? text.length() : comma;
      readRange(text, start, end, set);
      start = end + 1;
    }
    return set;
  }

  /** Decodes one range in place, without a substring, since a set may have thousands of ranges. */
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
