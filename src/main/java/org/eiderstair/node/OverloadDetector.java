package org.eiderstair.node;

import java.util.function.IntSupplier;
import org.eiderstair.core.message.Event;

/**
 * Tells whether this node has more to do than it can: events wait for longer than a moment, or
 * connections are refused for want of a socket. Used by the core's thread; others may ask {@link
 * #isBehind()}.
 */
final class OverloadDetector {
  /** Several batches: fewer events wait now and then on a node that keeps up. */
  private static final int MAX_WAITING_EVENTS = 128;

  private static final long BEHIND_AFTER_MICROS = 1_000_000;
  private static final long REPORT_EVERY_MICROS = 500_000;
  private static final long NEVER = Long.MIN_VALUE;

  private IntSupplier refusedConnections = () -> 0;
  private long waitingSinceMicros = NEVER;
  private long nextReportMicros = NEVER;
  private volatile boolean behind;

  /** Sets who counts the connections that were refused since it was asked last. */
  void refusedConnections(IntSupplier refusals) {
    refusedConnections = refusals;
  }

  /** Whether events have waited for so long that what can wait is to be refused. */
  boolean isBehind() {
    return behind;
  }

  /**
   * Looks at the queue.
   *
   * @param waitingEvents how many events still wait after a batch
   * @return the event for the core; null if there is nothing new
   */
  Event.Overloaded check(int waitingEvents, long nowMicros) {
    if (waitingEvents <= MAX_WAITING_EVENTS) {
      waitingSinceMicros = NEVER;
    } else if (waitingSinceMicros == NEVER) {
      waitingSinceMicros = nowMicros;
    }
    behind = waitingSinceMicros != NEVER && nowMicros >= waitingSinceMicros + BEHIND_AFTER_MICROS;
    if (nowMicros < nextReportMicros) {
      return null;
    }
    int refused = refusedConnections.getAsInt();
    if (!behind && refused == 0) {
      return null;
    }
    nextReportMicros = nowMicros + REPORT_EVERY_MICROS;
    return new Event.Overloaded(refused, behind ? waitingEvents : 0);
  }
}
