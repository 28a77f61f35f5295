package org.eiderstair.core.workers;

/** The time of the current event, which the classes of this package share. */
final class EventTime {
  private long nowMicros;

  long nowMicros() {
    return nowMicros;
  }

  /** Sets the time of the next event to handle. */
  void advanceTo(long micros) {
    nowMicros = micros;
  }
}
