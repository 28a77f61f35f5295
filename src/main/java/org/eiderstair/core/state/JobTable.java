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

/** The jobs that this node knows of, by their state. */
final class JobTable {
  private static final long CANCEL_MARGIN_MICROS = 5_000_000;

  private final Settings settings;
  private final Replica.Listener listener;
  private final long dayOffsetMicros;
  private long now;

  private final Map<String, Job> jobs = new HashMap<>();

  /** In the order in which this node learnt of them. */
  private final Map<String, Job> open = new LinkedHashMap<>();

  /** The one whose cancellation was seen first in front: a worker may still run their tasks. */
  private final ArrayDeque<Job> cancelled = new ArrayDeque<>();

  private final Collection<Job> jobsView = Collections.unmodifiableCollection(jobs.values());
  private final Collection<Job> openView = Collections.unmodifiableCollection(open.values());
  private final Collection<Job> cancelledView = Collections.unmodifiableCollection(cancelled);

  JobTable(Settings settings, Replica.Listener listener, long dayOffsetMicros) {
    this.settings = settings;
    this.listener = listener;
    this.dayOffsetMicros = dayOffsetMicros;
  }

  void advanceTo(long nowMicros) {
    now = nowMicros;
  }

  /** A job; null when it is not known. */
  Job get(String id) {
    return jobs.get(id);
  }

  Collection<Job> all() {
    return jobsView;
  }

  Collection<Job> open() {
    return openView;
  }

  /** Whether the job is new, or known in an older version. */
  boolean isNewer(String id, long version) {
    Job job = jobs.get(id);
    return job == null || version > job.version();
  }

  void apply(String id, JobRecord record, long version) {
    Job job = jobs.get(id);
    boolean isNew = job == null;
    if (isNew) {
      // A node that was not there when the job came must not take it for new.
      job = new Job(id, steadyMicros(record.createdDayMicros()));
      jobs.put(id, job);
    }
    job.setCancelledMicros(steadyMicros(record.cancelledDayMicros()));
    job.transitionTo(record.state(), version, record.tasks(), record.spec(), record.done());
    changed(job, isNew);
  }

  /** A time of day as this node's steady time; now when it is not known, or by clocks in future. */
  private long steadyMicros(long dayMicros) {
    return dayMicros == 0 ? now : Math.min(now, dayMicros - dayOffsetMicros);
  }

  private void changed(Job job, boolean isNew) {
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

  void apply(Cancellation cancellation) {
    Job job = jobs.get(cancellation.job());
    if (job != null && job.isOpen() && cancellation.version() > job.version()) {
      job.setCancelledMicros(now);
      job.transitionTo(
          Job.State.CANCELLED, cancellation.version(), job.tasks(), null, cancellation.done());
      changed(job, false);
    }
  }

  /** The progress of a job was not there as of a revision. */
  void progressAbsent(String id, long atRevision) {
    Job job = jobs.get(id);
    if (job != null) {
      job.recordProgressMissing(atRevision);
    }
  }

  /** Cancelled jobs whose tasks a worker may still run; older ones are forgotten here. */
  Collection<Job> recentlyCancelled(long nowMicros) {
    long since = nowMicros - settings.workerTimings().cancelMicros() - CANCEL_MARGIN_MICROS;
    while (!cancelled.isEmpty() && cancelled.peek().cancellationSeenMicros() < since) {
      cancelled.poll();
    }
    return cancelledView;
  }
}
