package org.eiderstair.core.capacity;

/** Holds the time of the current event and the time of the next capacity decision. */
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

  /** Records a decision at the current time and schedules the next after the usual interval. */
  void decisionTaken() {
    nextDecisionMicros = nowMicros + DECISION_INTERVAL_MICROS;
  }

  /** Schedules the next decision within the delay, unless it is already due earlier. */
  void decideWithin(long delayMicros) {
    nextDecisionMicros = Math.min(nextDecisionMicros, nowMicros + delayMicros);
  }
}
