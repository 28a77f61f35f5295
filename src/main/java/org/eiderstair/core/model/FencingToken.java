package org.eiderstair.core.model;

/**
 * Orders the commands to one worker: it refuses a command whose token is lower than the highest one
 * that it has seen.
 *
 * <p>The upper bits are the leader's term, so that every token of a new leader is above all of the
 * leaders before it. The lower bits are the fence, which the leader raises to invalidate its own
 * earlier commands to that worker. On the wire, and as text, a token is the plain number.
 *
 * @param value the term and the fence as one number
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
  /** What a worker reports that has not seen any command yet. */
  public static final FencingToken NONE = new FencingToken(0);

  private static final int FENCE_BITS = 20;

  /**
   * The first token that the leader of a term uses for a worker.
   *
   * @throws ArithmeticException if the term does not fit beside a fence
   */
  public static FencingToken first(long term) {
    return new FencingToken(Math.multiplyExact(term, 1L << FENCE_BITS) + 1);
  }

  /** The term of the leader that issued it. */
  public long term() {
    return value >> FENCE_BITS;
  }

  /** The next token of the same leader: it invalidates commands that carry this one. */
  public FencingToken raise() {
    return new FencingToken(value + 1);
  }

  /** Whether a worker that has seen the other token still accepts this one. */
  public boolean isAtLeast(FencingToken other) {
    return value >= other.value;
  }

  @Override
  public int compareTo(FencingToken other) {
    return Long.compare(value, other.value);
  }

  // Written out: the ones a record makes are linked at run time, and tokens are printed into
  // digests.
  @Override
  public boolean equals(Object other) {
    return other instanceof FencingToken that && value == that.value;
  }

  @Override
  public int hashCode() {
    return Long.hashCode(value);
  }

  @Override
  public String toString() {
    return Long.toString(value);
  }
}
