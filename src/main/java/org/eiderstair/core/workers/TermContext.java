package org.eiderstair.core.workers;

import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.standby.Standby;

/**
 * The dependencies that the classes of this package share during one leader term.
 *
 * @param time the time of the current event
 * @param term the leader's term, which is part of every fencing token and log line
 */
record TermContext(
    Settings settings,
    EffectSink sink,
    EventTime time,
    Leadership leadership,
    Standby standby,
    long term) {

  /** Returns the time of the current event. */
  long nowMicros() {
    return time.nowMicros();
  }

  /** Logs a decision at level info, with the term. */
  void info(String text) {
    sink.info(text + ", term=" + term);
  }

  /** Logs a detail at level debug, with the term. */
  void debug(String text) {
    sink.debug(text + ", term=" + term);
  }
}
