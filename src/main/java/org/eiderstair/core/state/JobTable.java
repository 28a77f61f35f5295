package org.eiderstair.core.state;

import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.settings.Settings;

/** The jobs that this node knows, indexed by state. */
final class JobTable {
  private static final long CANCEL_MARGIN_MICROS = 5_000_000;

  private final Settings settings;
  private final Replica.Listener listener;
  private final long wallClockOffsetMicros;
  private long now;

  private final Map<String, Job> jobs = new HashMap<>();

  /** Open jobs in the order in which this node learned of them. */
  private final Map<String, Job> open = new LinkedHashMap<>();

  /**
   * Cancelled jobs whose tasks a worker may still run, ordered by when this node saw the
   * cancellation.
   */
  private final ArrayDeque<Job> cancelled = new ArrayDeque<>();

  private final Collection<Job> jobsView = Collections.unmodifiableCollection(jobs.values());
  private final Collection<Job> openView = Collections.unmodifiableCollection(open.values());
  private final Collection<Job> cancelledView = Collections.unmodifiableCollection(cancelled);

  JobTable(Settings settings, Replica.Listener listener, long wallClockOffsetMicros) {
    this.settings = settings;
    this.listener = listener;
    this.wallClockOffsetMicros = wallClockOffsetMicros;
  }

  /** Sets the current time. */
  void advanceTo(long nowMicros) {
    now = nowMicros;
  }

  /** Returns a job, or null when the job is unknown. */
  Job get(String id) {
    return jobs.get(id);
  }

  /** Returns a read-only view of all jobs. */
  Collection<Job> all() {
    return jobsView;
  }

  /** Returns a read-only view of the open jobs, in the order in which this node learned of them. */
  Collection<Job> open() {
    return openView;
  }

  /** Returns whether the job is unknown, or known only in an older version. */
  boolean isNewer(String id, long version) {
    Job job = jobs.get(id);
    return job == null || version > job.version();
  }

  /** Applies a stored job record of this version. */
  void apply(String id, JobRecord record, long version) {
    Job job = jobs.get(id);
    boolean isNew = job == null;
    if (isNew) {
      // The stored submission time keeps a node that was absent at submission from treating the job
      // as recently submitted.
      job = new Job(id, monotonicMicros(record.createdWallClockMicros()));
      jobs.put(id, job);
    }
    job.setCancelledMicros(monotonicMicros(record.cancelledWallClockMicros()));
    job.transitionTo(record.state(), version, record.tasks(), record.spec(), record.done());
    handleChange(job, isNew);
  }

  /**
   * Converts a wall clock time to this node's monotonic time. Returns the current time when the
   * wall clock time is unknown (0) or lies in the future because of clock skew.
   */
  private long monotonicMicros(long wallClockMicros) {
    return wallClockMicros == 0 ? now : Math.min(now, wallClockMicros - wallClockOffsetMicros);
  }

  private void handleChange(Job job, boolean isNew) {
    if (job.isOpen()) {
      open.put(job.id(), job);
    } else {
      open.remove(job.id());
      if (job.state() == Job.State.CANCELLED) {
        job.markCancellationSeen(now);
        cancelled.add(job);
      }
    }
    listener.jobChanged(job, isNew);
    job.releaseIfDone();
  }

  /** Applies a committed cancellation if the job is known, open and older than the cancellation. */
  void apply(Cancellation cancellation) {
    Job job = jobs.get(cancellation.job());
    if (job != null && job.isOpen() && cancellation.version() > job.version()) {
      job.setCancelledMicros(now);
      job.transitionTo(
          Job.State.CANCELLED, cancellation.version(), job.tasks(), null, cancellation.done());
      handleChange(job, false);
    }
  }

  /** Records that the progress key of a job did not exist at a revision. */
  void progressAbsent(String id, long atRevision) {
    Job job = jobs.get(id);
    if (job != null) {
      job.recordProgressMissing(atRevision);
    }
  }

  /**
   * Drops cancelled jobs whose tasks no worker can still run, and returns a read-only view of the
   * others.
   */
  Collection<Job> recentlyCancelled(long nowMicros) {
    long since = nowMicros - settings.workerTimings().cancelMicros() - CANCEL_MARGIN_MICROS;
    while (!cancelled.isEmpty() && cancelled.peek().cancellationSeenMicros() < since) {
      cancelled.poll();
    }
    return cancelledView;
  }
}
