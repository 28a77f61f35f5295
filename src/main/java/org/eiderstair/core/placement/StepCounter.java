package org.eiderstair.core.placement;

/**
 * Counts the machines, jobs and attempts that placement has examined. Tests use the count, instead
 * of a clock, to check how the cost of a pass grows.
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
