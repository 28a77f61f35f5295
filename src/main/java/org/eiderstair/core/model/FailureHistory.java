package org.eiderstair.core.model;

import java.util.HashSet;
import java.util.Set;

/** The task failures on one machine since the last success on that machine. */
public final class FailureHistory {
  private static final int MIN_JOBS = 2;
  private static final int MIN_FAILURES = 3;
  private static final int MIN_FAILURES_ONLY_THIS_MACHINE = 6;

  private final Set<String> failedJobs = new HashSet<>();
  private int consecutiveFailures;

  FailureHistory() {}

  /** Forgets all failures after a task succeeded. */
  public void reset() {
    consecutiveFailures = 0;
    failedJobs.clear();
  }

  /**
   * Records a task failure.
   *
   * @param countJob whether the job has completed a task or failed on no other machine, so that its
   *     failure may point to the machine
   */
  public void record(String jobId, boolean countJob) {
    consecutiveFailures++;
    if (countJob) {
      failedJobs.add(jobId);
    }
  }

  /**
   * Returns whether the machine is considered faulty. A defective job fails on every machine; such
   * a job alone may take at most one machine out of service, not one after another.
   *
   * @param onlyThisMachine whether the job of the last failure has failed on no other machine
   */
  public boolean isFaulty(boolean onlyThisMachine) {
    return (failedJobs.size() >= MIN_JOBS && consecutiveFailures >= MIN_FAILURES)
        || (onlyThisMachine && consecutiveFailures >= MIN_FAILURES_ONLY_THIS_MACHINE);
  }

  /** Returns the number of distinct jobs counted as failed on the machine. */
  public int failedJobCount() {
    return failedJobs.size();
  }
}
