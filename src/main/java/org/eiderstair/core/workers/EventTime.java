package org.eiderstair.core.workers;

/** The time at which the event at hand happened, for all parts of a leader's picture. */
final class EventTime {
  private long nowMicros;

  long nowMicros() {
    return nowMicros;
  }

  void at(long micros) {
    nowMicros = micros;
  }
}
