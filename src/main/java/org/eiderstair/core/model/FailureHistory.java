package org.eiderstair.core.model;

import java.util.HashSet;
import java.util.Set;

/** The tasks that failed on one machine since one last succeeded there. */
public final class FailureHistory {
  private static final int MIN_JOBS = 2;
  private static final int MIN_FAILURES = 3;
  private static final int MIN_FAILURES_ONLY_HERE = 6;

  private final Set<String> failedJobs = new HashSet<>();
  private int failuresInRow;

  FailureHistory() {}

  /** A task succeeded. */
  public void reset() {
    failuresInRow = 0;
    failedJobs.clear();
  }

  /**
   * A task failed.
   *
   * @param countsJob whether the job works elsewhere as far as is known, so that its failure tells
   *     something of the machine
   */
  public void record(String jobId, boolean countsJob) {
    failuresInRow++;
    if (countsJob) {
      failedJobs.add(jobId);
    }
  }

  /**
   * Whether the machine is taken to be faulty. A job with a mistake fails wherever it goes: it
   * alone may cost one machine, never one after another.
   *
   * @param onlyHere whether the job of the last failure has failed on no other machine
   */
  public boolean isFaulty(boolean onlyHere) {
    return (failedJobs.size() >= MIN_JOBS && failuresInRow >= MIN_FAILURES)
        || (onlyHere && failuresInRow >= MIN_FAILURES_ONLY_HERE);
  }

  /** How many jobs failed on the machine. */
  public int failedJobCount() {
    return failedJobs.size();
  }
}
