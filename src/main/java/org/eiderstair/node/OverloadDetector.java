package org.eiderstair.node;

import java.util.function.IntSupplier;
import org.eiderstair.core.message.Event;

/**
 * Detects overload of this node: too many events have waited for a second or longer, or connections
 * are refused because no socket is free. Only the core's thread may call its methods, except {@link
 * #isBehind()}, which any thread may call.
 */
final class OverloadDetector {
  /**
   * The limit is several batches of events. The number of waiting events on a node that keeps up
   * falls to this limit or below from time to time.
   */
  private static final int MAX_WAITING_EVENTS = 128;

  /** The time for which too many events must wait until this node counts as behind. */
  private static final long BEHIND_AFTER_MICROS = 1_000_000;

  private static final long REPORT_INTERVAL_MICROS = 500_000;
  private static final long NEVER = Long.MIN_VALUE;

  private IntSupplier refusedConnectionCounter = () -> 0;
  private long waitingSinceMicros = NEVER;
  private long nextReportMicros = NEVER;
  private volatile boolean behind;

  /**
   * Sets the counter, which returns the number of connections refused since the previous call of
   * the counter.
   */
  void setRefusedConnectionCounter(IntSupplier counter) {
    refusedConnectionCounter = counter;
  }

  /**
   * Returns whether too many events have waited for a second or longer. Deferrable requests are
   * then refused.
   */
  boolean isBehind() {
    return behind;
  }

  /**
   * Checks for overload after a batch of events. A lasting overload is reported at most twice a
   * second.
   *
   * @param waitingEvents the number of events that still wait
   * @return the event for the core; null if there is nothing to report
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
    int refused = refusedConnectionCounter.getAsInt();
    if (!behind && refused == 0) {
      return null;
    }
    nextReportMicros = nowMicros + REPORT_INTERVAL_MICROS;
    return new Event.Overloaded(refused, behind ? waitingEvents : 0);
  }
}
