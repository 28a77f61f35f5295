package org.eiderstair.sim;

import java.util.PriorityQueue;

/** Simulated time: runs what is next in sequence of time, and of arrival where times are equal. */
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

  long now() {
    return nowMicros;
  }

  void after(long micros, Runnable action) {
    queue.add(new ScheduledAction(nowMicros + Math.max(0, micros), ++sequence, action));
  }

  void runUntil(long endMicros) {
    while (!queue.isEmpty() && queue.peek().atMicros() <= endMicros) {
      ScheduledAction next = queue.poll();
      nowMicros = next.atMicros();
      next.action().run();
    }
    nowMicros = endMicros;
  }
}
