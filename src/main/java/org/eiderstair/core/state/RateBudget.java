package org.eiderstair.core.state;

/** A token bucket that holds one second's worth, to stay below a rate limit of the platform. */
public final class RateBudget {
  private static final double MICROS_PER_SECOND = 1e6;

  private final double perSecond;
  private double available;
  private long refilledMicros;

  /**
   * @param perSecond what may be spent in a second, and at once after a pause
   */
  public RateBudget(double perSecond) {
    this.perSecond = perSecond;
    this.available = perSecond;
  }

  /** What may be spent now. */
  public double available(long nowMicros) {
    available =
        Math.min(
            perSecond, available + (nowMicros - refilledMicros) * perSecond / MICROS_PER_SECOND);
    refilledMicros = nowMicros;
    return available;
  }

  /** Spends from the budget. */
  public void take(double amount) {
    available -= amount;
  }
}
