package org.eiderstair.core.state;

/**
 * A token bucket that keeps requests below a rate limit of the platform; holds one second of
 * tokens.
 */
public final class RateBudget {
  private static final double MICROS_PER_SECOND = 1e6;

  private final double perSecond;
  private double available;
  private long refilledMicros;

  /**
   * @param perSecond the number of tokens added per second, and the capacity of the bucket
   */
  public RateBudget(double perSecond) {
    this.perSecond = perSecond;
    this.available = perSecond;
  }

  /** Adds the tokens due by now and returns the available number; negative after an overdraft. */
  public double available(long nowMicros) {
    available =
        Math.min(
            perSecond, available + (nowMicros - refilledMicros) * perSecond / MICROS_PER_SECOND);
    refilledMicros = nowMicros;
    return available;
  }

  /** Takes tokens from the bucket, whether or not it holds that many. */
  public void take(double amount) {
    available -= amount;
  }
}
