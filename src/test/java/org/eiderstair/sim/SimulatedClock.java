package org.eiderstair.sim;

import java.util.PriorityQueue;

/**
 * Simulated time. Runs scheduled actions in order of time; actions of the same time run in the
 * order in which they were scheduled.
 */
final class SimulatedClock {
  private record ScheduledAction(long atMicros, long sequence, Runnable action) {}

  private final PriorityQueue<ScheduledAction> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.atMicros() != b.atMicros()
                  ? Long.compare(a.atMicros(), b.atMicros())
                  : Long.compare(a.sequence(), b.sequence()));
  private long nowMicros;
  private long sequence;

  /** Returns the current simulated time, in microseconds. */
  long now() {
    return nowMicros;
  }

  /** Schedules an action; a negative delay counts as 0. */
  void after(long micros, Runnable action) {
    queue.add(new ScheduledAction(nowMicros + Math.max(0, micros), ++sequence, action));
  }

  /** Runs all actions up to a time, inclusive, and advances the clock to that time. */
  void runUntil(long endMicros) {
    while (!queue.isEmpty() && queue.peek().atMicros() <= endMicros) {
      ScheduledAction next = queue.poll();
      nowMicros = next.atMicros();
      next.action().run();
    }
    nowMicros = endMicros;
  }
}
