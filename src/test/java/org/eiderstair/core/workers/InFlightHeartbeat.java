package org.eiderstair.core.workers;

import org.eiderstair.core.message.Answer;
import org.eiderstair.core.model.Heartbeat;

/** A heartbeat whose answer the worker waits for, or a late copy whose answer nobody waits for. */
final class InFlightHeartbeat {
  final Heartbeat content;
  final int leader;
  final long sentMicros;
  final boolean copy;
  long exchange;
  Answer answer;

  InFlightHeartbeat(Heartbeat content, int leader, long sentMicros, boolean copy) {
    this.content = content;
    this.leader = leader;
    this.sentMicros = sentMicros;
    this.copy = copy;
  }
}
