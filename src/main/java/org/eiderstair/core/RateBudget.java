package org.eiderstair.core;

/**
 * A token bucket worth one second, so that this node stays below a limit of the platform by itself.
 */
final class RateBudget {
  private final double perSecond;
  private double available;
  private long atMicros;

  RateBudget(double perSecond) {
    this.perSecond = perSecond;
    this.available = perSecond;
  }

  double available(long nowMicros) {
    available = Math.min(perSecond, available + (nowMicros - atMicros) * perSecond / 1e6);
    atMicros = nowMicros;
    return available;
  }

  void take(double amount) {
    available -= amount;
  }
}
