package org.eiderstair.core.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.Consumer;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.ProgressRecord;
import org.eiderstair.core.record.StateKeys;

/** Jobs whose final state or progress still has to be written. */
final class PendingJobs {
  private static final long PROGRESS_INTERVAL_MICROS = 500_000;

  /**
   * Limits the size of progress records in one transaction; the last record may exceed the limit.
   */
  private static final int MAX_PROGRESS_BYTES = 40_000;

  /** The size of a progress record without the text of its task set. */
  private static final int PROGRESS_OVERHEAD_BYTES = 200;

  /** Writing the final state and removing the progress. */
  private static final int WRITES_PER_FINISHED_JOB = 2;

  private final Consumer<Job> onFinished;
  private final Map<String, Job> finished = new LinkedHashMap<>();
  private final Map<String, Job> progressed = new LinkedHashMap<>();
  private long lastProgressMicros;

  /**
   * @param onFinished receives each job whose final state has become durable
   */
  PendingJobs(Consumer<Job> onFinished) {
    this.onFinished = onFinished;
  }

  /** Schedules the write of the final state of a job; replaces a pending progress write. */
  void addFinished(Job job) {
    finished.put(job.id(), job);
    progressed.remove(job.id());
  }

  /** Schedules the write of the progress of a job, unless its final state is pending. */
  void addProgressed(Job job) {
    if (!finished.containsKey(job.id())) {
      progressed.put(job.id(), job);
    }
  }

  /** Adds the pending final states, as far as the batch has room. */
  void addFinishedTo(WriteBatch batch) {
    for (Job job : new ArrayList<>(finished.values())) {
      if (!job.isOpen()) {
        finished.remove(job.id());
        continue;
      }
      if (!batch.reserve(WRITES_PER_FINISHED_JOB)) {
        return;
      }
      batch.require(StateKeys.job(job.id()), job.version());
      batch.put(StateKeys.job(job.id()), JobRecord.done(job.tasks()));
      if (job.progressVersion() > 0) {
        batch.require(StateKeys.progress(job.id()), job.progressVersion());
        batch.remove(StateKeys.progress(job.id()));
      }
      batch.whenDurable(
          () -> {
            finished.remove(job.id());
            onFinished.accept(job);
          });
    }
  }

  /**
   * Adds pending progress, as far as the batch has room. Progress is delayed by up to {@link
   * #PROGRESS_INTERVAL_MICROS} unless the batch contains other writes.
   */
  void addProgressTo(WriteBatch batch, long nowMicros) {
    if (progressed.isEmpty()
        || (!batch.hasWrites() && nowMicros < lastProgressMicros + PROGRESS_INTERVAL_MICROS)) {
      return;
    }
    lastProgressMicros = nowMicros;
    int bytes = 0;
    for (Job job : new ArrayList<>(progressed.values())) {
      if (!job.isOpen()) {
        progressed.remove(job.id());
        continue;
      }
      if (bytes > MAX_PROGRESS_BYTES || !batch.reserve(1)) {
        return;
      }
      bytes += addProgressTo(batch, job);
    }
  }

  /** Adds the progress of a job and returns the approximate size of its record in bytes. */
  private int addProgressTo(WriteBatch batch, Job job) {
    BitSet done = job.completedTasks();
    ProgressRecord record = ProgressRecord.of(done, job.runningCount());
    batch.require(StateKeys.progress(job.id()), job.progressVersion());
    batch.require(StateKeys.job(job.id()), job.version());
    batch.put(StateKeys.progress(job.id()), record);
    batch.whenDurable(
        () -> {
          if (job.hasCompletedExactly(done)) {
            progressed.remove(job.id());
          }
        });
    return record.doneTasks().length() + PROGRESS_OVERHEAD_BYTES;
  }
}
