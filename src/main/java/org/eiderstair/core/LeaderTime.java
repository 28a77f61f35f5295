package org.eiderstair.core;

/** The time at which the event at hand happened, for all parts of a leader's picture. */
final class LeaderTime {
  private long nowMicros;

  long nowMicros() {
    return nowMicros;
  }

  void at(long micros) {
    nowMicros = micros;
  }
}
