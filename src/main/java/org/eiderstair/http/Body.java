package org.eiderstair.http;

import java.nio.ByteBuffer;
import java.util.Arrays;

/**
 * Collects the body of a message. The memory used depends on the bytes received, not on the
 * announced length.
 */
final class Body {
  private static final byte[] EMPTY = new byte[0];
  private static final int MIN_CAPACITY_BYTES = 512;

  private byte[] bytes = EMPTY;
  private int length;

  /** Appends a chunk; returns false, and appends nothing, if the body would exceed the limit. */
  boolean add(ByteBuffer chunk, int maxBytes) {
    int added = chunk.remaining();
    if (added > maxBytes - length) {
      return false;
    }
    if (length + added > bytes.length) {
      bytes =
          Arrays.copyOf(
              bytes,
              Math.min(
                  maxBytes,
                  Math.max(MIN_CAPACITY_BYTES, Math.max(length + added, bytes.length * 2))));
    }
    chunk.get(bytes, length, added);
    length += added;
    return true;
  }

  int length() {
    return length;
  }

  /** Returns the body, and clears it for the next message. */
  byte[] take() {
    byte[] content = length == bytes.length ? bytes : Arrays.copyOf(bytes, length);
    bytes = EMPTY;
    length = 0;
    return content;
  }
}
