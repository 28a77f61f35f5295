package org.eiderstair.core.model;

/**
 * Orders the commands to one worker. A worker refuses a command whose token is lower than the
 * highest token that the worker has seen.
 *
 * <p>The upper bits are the leader's term, so every token of a new leader is higher than all tokens
 * of earlier leaders. The lower bits are a counter. The leader increments the counter to invalidate
 * its own earlier commands to the worker. On the wire and as text, a token is the plain number.
 *
 * @param value the term and the counter as one number
 */
public record FencingToken(long value) implements Comparable<FencingToken> {
  /** The token reported by a worker that has not seen any command yet. */
  public static final FencingToken NONE = new FencingToken(0);

  private static final int COUNTER_BITS = 20;

  /**
   * Returns the first token that the leader of a term uses for a worker.
   *
   * @throws ArithmeticException if the term does not fit into the upper bits
   */
  public static FencingToken first(long term) {
    return new FencingToken(Math.multiplyExact(term, 1L << COUNTER_BITS) + 1);
  }

  /** Returns the term of the leader that issued this token. */
  public long term() {
    return value >> COUNTER_BITS;
  }

  /**
   * Returns the next token of the same leader, which invalidates commands with this token.
   *
   * @throws ArithmeticException if the counter is used up; the next token would be a later term's
   */
  public FencingToken next() {
    FencingToken next = new FencingToken(Math.addExact(value, 1));
    if (next.term() != term()) {
      throw new ArithmeticException("all fencing tokens of term " + term() + " are used");
    }
    return next;
  }

  /** Returns whether a worker that has seen the other token still accepts this token. */
  public boolean isAtLeast(FencingToken other) {
    return value >= other.value;
  }

  @Override
  public int compareTo(FencingToken other) {
    return Long.compare(value, other.value);
  }

  // Written by hand: the methods generated for a record are linked at run time. The test digests
  // print tokens with toString.
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
