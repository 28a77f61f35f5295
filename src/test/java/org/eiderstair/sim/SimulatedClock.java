package org.eiderstair.sim;

import java.util.PriorityQueue;

/** Simulated time: runs what is due in order of time, and of arrival where times are equal. */
final class SimulatedClock {
  private record Due(long atMicros, long order, Runnable action) {}

  private final PriorityQueue<Due> queue =
      new PriorityQueue<>(
          (a, b) ->
              a.atMicros() != b.atMicros()
                  ? Long.compare(a.atMicros(), b.atMicros())
                  : Long.compare(a.order(), b.order()));
  private long now;
  private long order;

  long now() {
    return now;
  }

  void after(long micros, Runnable action) {
    queue.add(new Due(now + Math.max(0, micros), ++order, action));
  }

  void runUntil(long endMicros) {
    while (!queue.isEmpty() && queue.peek().atMicros() <= endMicros) {
      Due due = queue.poll();
      now = due.atMicros();
      due.action().run();
    }
    now = endMicros;
  }
}
