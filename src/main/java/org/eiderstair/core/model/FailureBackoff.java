package org.eiderstair.core.model;

import java.util.HashSet;
import java.util.Set;

/**
 * Delays further attempts of a job whose tasks fail on one machine after another. The delay doubles
 * with each round of failures up to a maximum; a success ends it.
 */
final class FailureBackoff {
  private static final long INITIAL_DELAY_MICROS = 1_000_000;
  private static final long MAX_DELAY_MICROS = 60_000_000;
  private static final int MAX_DOUBLINGS = 6;

  /** Machines on which a task failed since the last success; null stands for none, to save room. */
  private Set<String> failedMachines;

  private int rounds;
  private long retryAtMicros;

  /**
   * Counts a failure. The first machine may be at fault itself, so a delay begins with a second
   * failure there or a failure elsewhere; failures of attempts made before a delay do not prolong
   * it.
   */
  void recordFailure(String machine, long nowMicros) {
    if (failedMachines == null) {
      failedMachines = new HashSet<>();
    }
    boolean repeated = !failedMachines.add(machine);
    if ((repeated || failedMachines.size() > 1) && mayRetry(nowMicros)) {
      rounds++;
      long delay = INITIAL_DELAY_MICROS << Math.min(rounds, MAX_DOUBLINGS);
      retryAtMicros = nowMicros + Math.min(MAX_DELAY_MICROS, delay);
    }
  }

  /** A task succeeded: earlier failures no longer count, but a delay under way ends in its time. */
  void recordSuccess() {
    failedMachines = null;
    rounds = 0;
  }

  /** Forgets all failures and any delay. */
  void reset() {
    recordSuccess();
    retryAtMicros = 0;
  }

  boolean mayRetry(long nowMicros) {
    return nowMicros >= retryAtMicros;
  }

  boolean hasFailedOn(String machine) {
    return failedMachines != null && failedMachines.contains(machine);
  }

  int failedMachines() {
    return failedMachines == null ? 0 : failedMachines.size();
  }
}
