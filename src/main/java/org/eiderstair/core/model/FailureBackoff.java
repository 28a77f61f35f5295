package org.eiderstair.core.model;

import java.util.HashSet;
import java.util.Set;

/**
 * Delays further attempts of a job whose tasks fail on one machine after another. The delay doubles
 * with each round of failures up to a maximum. A success resets the doubling.
 */
final class FailureBackoff {
  private static final long INITIAL_DELAY_MICROS = 1_000_000;
  private static final long MAX_DELAY_MICROS = 60_000_000;
  private static final int MAX_DOUBLINGS = 6;

  /** Machines on which a task failed since the last success; null if none, to save memory. */
  private Set<String> failedMachines;

  private int delayRounds;
  private long retryAtMicros;

  /**
   * Counts a failure. The first machine may itself be faulty, so a delay begins only with a second
   * failure on that machine or a failure on another one. Failures during a delay do not prolong the
   * delay, since their attempts were started before.
   */
  void recordFailure(String machine, long nowMicros) {
    if (failedMachines == null) {
      failedMachines = new HashSet<>();
    }
    boolean repeated = !failedMachines.add(machine);
    if ((repeated || failedMachines.size() > 1) && mayRetry(nowMicros)) {
      delayRounds++;
      long delay = INITIAL_DELAY_MICROS << Math.min(delayRounds, MAX_DOUBLINGS);
      retryAtMicros = nowMicros + Math.min(MAX_DELAY_MICROS, delay);
    }
  }

  /** Forgets earlier failures after a success. A current delay still runs to its end. */
  void recordSuccess() {
    failedMachines = null;
    delayRounds = 0;
  }

  /** Forgets all failures and ends any current delay. */
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

  int failedMachineCount() {
    return failedMachines == null ? 0 : failedMachines.size();
  }
}
