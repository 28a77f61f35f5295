package org.eiderstair.core.workers;

import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.standby.Standby;

/**
 * What the parts of a leader's worker management share for one term.
 *
 * @param time the time of the event that is being handled
 * @param term the leader's term, which is part of every fencing token and log line
 */
record TermContext(
    Settings settings,
    EffectSink sink,
    EventTime time,
    Leadership leadership,
    Standby standby,
    long term) {

  /** The time of the event that is being handled. */
  long nowMicros() {
    return time.nowMicros();
  }

  /** Logs a decision, with the term. */
  void info(String text) {
    sink.info(text + ", term=" + term);
  }

  /** Logs a detail, with the term. */
  void debug(String text) {
    sink.debug(text + ", term=" + term);
  }
}
