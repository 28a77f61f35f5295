package org.eiderstair.core.record;

import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;

/**
 * A job.
 *
 * @param spec null for a finished job, which needs no more than its outcome: this bounds memory
 *     over long histories. A cancelled one keeps it, since a later leader may still find its tasks
 *     on machines.
 * @param tasks how many it has
 * @param done how many had finished when it was cancelled
 * @param createdDayMicros when it was submitted, by the time of day; 0 when that is not known
 * @param cancelledDayMicros when it was cancelled, by the time of day: also a leader that learns of
 *     it late keeps its deadline; 0 when that is not known
 */
public record JobRecord(
    Job.State state,
    JobSpec spec,
    int tasks,
    int done,
    long createdDayMicros,
    long cancelledDayMicros)
    implements StoredValue {
  private static final long UNKNOWN = 0;

  /** An open job. */
  public static JobRecord open(JobSpec spec, long createdDayMicros) {
    return new JobRecord(Job.State.OPEN, spec, spec.tasks(), 0, createdDayMicros, UNKNOWN);
  }

  /** A finished job. */
  public static JobRecord done(int tasks) {
    return new JobRecord(Job.State.DONE, null, tasks, 0, UNKNOWN, UNKNOWN);
  }

  /** A cancelled job. */
  public static JobRecord cancelled(JobSpec spec, int done, long dayMicros) {
    return new JobRecord(Job.State.CANCELLED, spec, spec.tasks(), done, UNKNOWN, dayMicros);
  }

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.job(this);
  }
}
