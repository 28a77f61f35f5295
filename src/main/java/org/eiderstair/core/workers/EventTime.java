package org.eiderstair.core.workers;

/** The time of the event that is being handled, which all parts of a term's state share. */
final class EventTime {
  private long nowMicros;

  long nowMicros() {
    return nowMicros;
  }

  /** Another event is handled from now on. */
  void advanceTo(long micros) {
    nowMicros = micros;
  }
}
