package org.eiderstair.core.record;

import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;

/**
 * The stored state of a job.
 *
 * @param spec null for a finished job, of which only the outcome is kept. This bounds memory over
 *     long histories. A cancelled job keeps its spec, because a later leader may still find its
 *     tasks on machines.
 * @param tasks the number of tasks of the job
 * @param done the number of tasks that had finished when the job was cancelled
 * @param createdWallClockMicros the wall clock time of the submission; 0 when unknown
 * @param cancelledWallClockMicros the wall clock time of the cancellation; 0 when unknown. With the
 *     stored time, a leader that learns late of the cancellation still meets its deadline.
 */
public record JobRecord(
    Job.State state,
    JobSpec spec,
    int tasks,
    int done,
    long createdWallClockMicros,
    long cancelledWallClockMicros)
    implements StoredValue {
  private static final long UNKNOWN = 0;

  /** Returns the record of an open job. */
  public static JobRecord open(JobSpec spec, long createdWallClockMicros) {
    return new JobRecord(Job.State.OPEN, spec, spec.tasks(), 0, createdWallClockMicros, UNKNOWN);
  }

  /** Returns the record of a finished job, without a spec. */
  public static JobRecord done(int tasks) {
    return new JobRecord(Job.State.DONE, null, tasks, 0, UNKNOWN, UNKNOWN);
  }

  /** Returns the record of a cancelled job. */
  public static JobRecord cancelled(JobSpec spec, int done, long wallClockMicros) {
    return new JobRecord(Job.State.CANCELLED, spec, spec.tasks(), done, UNKNOWN, wallClockMicros);
  }

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.job(this);
  }
}
