package org.eiderstair.core.placement;

/**
 * Counts the machines, jobs and attempts that placement has looked at. Tests use it to show how the
 * cost of a pass grows, without a clock.
 */
final class StepCounter {
  private long steps;

  void add(int count) {
    steps += count;
  }

  long total() {
    return steps;
  }
}
