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

/** Jobs whose final state or whose progress is to be written. */
final class PendingJobs {
  private static final long PROGRESS_EVERY_MICROS = 500_000;

  /** Of progress in one transaction. */
  private static final int MAX_PROGRESS_BYTES = 40_000;

  /** What a progress record takes besides its text. */
  private static final int RECORD_BYTES = 200;

  /** The job's final state, and its progress that goes. */
  private static final int WRITES_OF_FINISHED_JOB = 2;

  private final Consumer<Job> onFinished;
  private final Map<String, Job> finished = new LinkedHashMap<>();
  private final Map<String, Job> progressed = new LinkedHashMap<>();
  private long lastProgressMicros;

  /**
   * @param onFinished gets each job whose final state is durable
   */
  PendingJobs(Consumer<Job> onFinished) {
    this.onFinished = onFinished;
  }

  void finished(Job job) {
    finished.put(job.id(), job);
    progressed.remove(job.id());
  }

  void progressed(Job job) {
    if (!finished.containsKey(job.id())) {
      progressed.put(job.id(), job);
    }
  }

  void addFinishedTo(WriteBatch batch) {
    for (Job job : new ArrayList<>(finished.values())) {
      if (!job.isOpen()) {
        finished.remove(job.id());
        continue;
      }
      if (!batch.reserve(WRITES_OF_FINISHED_JOB)) {
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

  /** Progress may wait, but goes at once with what is written anyway. */
  void addProgressTo(WriteBatch batch, long nowMicros) {
    if (progressed.isEmpty()
        || (!batch.hasWrites() && nowMicros < lastProgressMicros + PROGRESS_EVERY_MICROS)) {
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
    return record.doneTasks().length() + RECORD_BYTES;
  }
}
