package org.eiderstair.core.capacity;

/** The time of the event being handled, and when capacity is to be decided on next. */
final class CapacityClock {
  private static final long DECISION_INTERVAL_MICROS = 1_000_000;

  private long nowMicros;
  private long nextDecisionMicros;

  void advanceTo(long nowMicros) {
    this.nowMicros = nowMicros;
  }

  long nowMicros() {
    return nowMicros;
  }

  boolean isDecisionDue() {
    return nowMicros >= nextDecisionMicros;
  }

  /** A decision is being taken; the next follows after the usual interval. */
  void decisionTaken() {
    nextDecisionMicros = nowMicros + DECISION_INTERVAL_MICROS;
  }

  /** Brings the next decision forward, if it is not due sooner. */
  void decideWithin(long delayMicros) {
    nextDecisionMicros = Math.min(nextDecisionMicros, nowMicros + delayMicros);
  }
}
