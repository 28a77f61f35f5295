package org.eiderstair.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * What has come of a body: it costs no more than what was really received, however long it says
 * that it is.
 */
final class Body {
  private static final byte[] NONE = new byte[0];
  private static final int LEAST = 512;

  private byte[] bytes = NONE;
  private int length;

  /** Takes what there is; false, and nothing taken, when that would be more than {@code most}. */
  boolean add(ByteBuffer chunk, int most) {
    int added = chunk.remaining();
    if (added > most - length) {
      return false;
    }
    if (length + added > bytes.length) {
      bytes =
          Arrays.copyOf(
              bytes, Math.min(most, Math.max(LEAST, Math.max(length + added, bytes.length * 2))));
    }
    chunk.get(bytes, length, added);
    length += added;
    return true;
  }

  int length() {
    return length;
  }

  /** The whole of it; what comes next begins anew. */
  byte[] take() {
    byte[] whole = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    bytes = NONE;
    length = 0;
    return whole;
  }
}
