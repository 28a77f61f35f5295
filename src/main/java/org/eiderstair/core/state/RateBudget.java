package org.eiderstair.core.state;

/**
 * A token bucket worth one second, so that this node stays below a limit of the platform by itself.
 */
public final class RateBudget {
  private final double perSecond;
  private double available;
  private long atMicros;

  public RateBudget(double perSecond) {
    this.perSecond = perSecond;
    this.available = perSecond;
  }

  /** What may be spent now. */
  public double available(long nowMicros) {
    available = Math.min(perSecond, available + (nowMicros - atMicros) * perSecond / 1e6);
    atMicros = nowMicros;
    return available;
  }

  /** Spends from the budget. */
  public void take(double amount) {
    available -= amount;
  }
}
