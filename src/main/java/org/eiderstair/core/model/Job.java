package org.eiderstair.core.model;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.OptionalInt;

/**
 * A job as this node knows it. All nodes hold the state and the durable progress from the state
 * service. The leader also holds the completed tasks and the attempts of the others. A task has at
 * most one attempt that may be alive. The task becomes free again only when that attempt is proven
 * to have ended.
 *
 * <p>Tasks are numbered from 0. Times are in microseconds of this node's clock.
 */
public final class Job {
  private static final int MIN_FAILED_MACHINES_OF_FAULTY_JOB = 3;

  /** The state of a job. */
  public enum State {
    /** The job is neither done nor cancelled. */
    OPEN,
    /** All tasks are done; a final state. */
    DONE,
    /** The user cancelled the job; a final state. */
    CANCELLED
  }

  private final String id;
  private final long submittedMicros;
  private State state = State.OPEN;
  private long version;
  private int tasks;
  private int finalDoneCount;
  private long cancelledMicros;
  private long cancellationSeenMicros;

  /**
   * Null once the job is done and has no attempts, to keep the history of jobs small. A cancelled
   * job keeps its specification. A later leader may still find its tasks on machines and must count
   * the resources that they use.
   */
  private JobSpec spec;

  private final DurableProgress durableProgress = new DurableProgress();

  /** Tasks that workers reported as completed, durably or not; used only at the leader. */
  private BitSet completed = new BitSet();

  private final JobAttempts attempts = new JobAttempts();
  private final FailureBackoff failures = new FailureBackoff();
  private int effectivePriority;
  private boolean started;
  private long lastPreemptionMicros;

  /**
   * Creates an open job.
   *
   * @param submittedMicros the time of the submission, as far as this node knows
   */
  public Job(String id, long submittedMicros) {
    this.id = id;
    this.submittedMicros = submittedMicros;
  }

  /** Returns the id that the user gave the job. */
  public String id() {
    return id;
  }

  /** Returns the time of the submission, as far as this node knows. */
  public long submittedMicros() {
    return submittedMicros;
  }

  /** Returns the state of the job. */
  public State state() {
    return state;
  }

  /** Returns the version of the job's key in the state service. */
  public long version() {
    return version;
  }

  /** Returns the total number of tasks. */
  public int tasks() {
    return tasks;
  }

  /** Returns the specification; null once the job is done and has no attempts. */
  public JobSpec spec() {
    return spec;
  }

  /** Returns whether the job is neither done nor cancelled. */
  public boolean isOpen() {
    return state == State.OPEN;
  }

  /** Returns the number of tasks that were done when the job became final; used for display. */
  public int finalDoneCount() {
    return finalDoneCount;
  }

  /**
   * Applies a state from the state service. All state changes of a job go through this method.
   * Versions that are not newer are ignored. A final state never changes, since users may have read
   * the state.
   *
   * @param newVersion the version of the job's key
   * @param newSpec the specification; null to keep the current one
   * @param doneCount the stored number of tasks that were done at the cancellation; 0 if none
   */
  public void transitionTo(
      State next, long newVersion, int taskCount, JobSpec newSpec, int doneCount) {
    if (newVersion <= version || (state != State.OPEN && next != state)) {
      return;
    }
    state = next;
    version = newVersion;
    tasks = taskCount;
    if (newSpec != null) {
      spec = newSpec;
    }
    if (next != State.OPEN) {
      finalDoneCount =
          next == State.DONE ? taskCount : Math.max(doneCount, durableProgress.completedCount());
      durableProgress.release();
    }
  }

  /** Drops the specification and completed tasks if the job is done and has no attempts. */
  public void releaseIfDone() {
    if (state == State.DONE && attempts.count() == 0) {
      spec = null;
      completed = new BitSet();
    }
  }

  /**
   * Returns the time of the cancellation, as far as this node knows. The time is never later than
   * {@link #cancellationSeenMicros}.
   */
  public long cancelledMicros() {
    return cancelledMicros;
  }

  /** Sets the time of the cancellation, if the job is cancelled. */
  public void setCancelledMicros(long micros) {
    cancelledMicros = micros;
  }

  /** Returns the time at which this node learned of the cancellation. */
  public long cancellationSeenMicros() {
    return cancellationSeenMicros;
  }

  /** Records that this node learned of the cancellation. */
  public void markCancellationSeen(long nowMicros) {
    cancellationSeenMicros = nowMicros;
  }

  /**
   * Advances to a version of the stored progress. The version counts even if the stored value is
   * unreadable.
   *
   * @return whether the version is newer than the known one and the job is open
   */
  public boolean advanceProgressTo(long progressVersion) {
    if (!isOpen() || progressVersion <= durableProgress.version()) {
      return false;
    }
    durableProgress.advanceTo(progressVersion);
    return true;
  }

  /** Sets the stored progress at the version last passed to {@link #advanceProgressTo}. */
  public void setDurableProgress(BitSet completedTasks, int runningTasks) {
    durableProgress.set(completedTasks, runningTasks);
  }

  /** Records that no progress was stored at a revision of the state service. */
  public void recordProgressMissing(long atRevision) {
    durableProgress.recordMissing(atRevision);
  }

  /** Returns the version of the progress in the state service; 0 if none is stored. */
  public long progressVersion() {
    return durableProgress.version();
  }

  /** Returns whether the task is completed according to the state service. */
  public boolean isDurablyCompleted(int index) {
    return durableProgress.isCompleted(index);
  }

  /** Returns a copy of the set of tasks that are completed according to the state service. */
  public BitSet durablyCompletedTasks() {
    return durableProgress.copyOfCompleted();
  }

  /** Returns the number of tasks that are completed according to the state service. */
  public int durablyCompletedCount() {
    return durableProgress.completedCount();
  }

  /** Returns the number of tasks that are running according to the state service. */
  public int durablyRunningCount() {
    return durableProgress.running();
  }

  /** Resets the job to its durable progress, without attempts, as a new leader needs. */
  public void resetToDurable() {
    attempts.clear();
    completed = durableProgress.copyOfCompleted();
    started = durableProgress.hasStarted();
    failures.reset();
  }

  /** Returns whether a worker reported the task as completed, or the task is durably completed. */
  public boolean isCompleted(int index) {
    return completed.get(index);
  }

  /** Returns whether any task is completed. */
  public boolean hasCompletedTasks() {
    return !completed.isEmpty();
  }

  /** Returns whether the job is an array job with all tasks completed; false for a service. */
  public boolean allTasksCompleted() {
    return spec.shape() == JobSpec.Shape.ARRAY && completed.cardinality() == tasks;
  }

  /**
   * Records that a worker reported a task as completed. Earlier failures no longer count.
   *
   * @return whether the completion was not known before
   */
  public boolean markCompleted(int index) {
    if (completed.get(index)) {
      return false;
    }
    completed.set(index);
    failures.recordSuccess();
    return true;
  }

  /** Returns a copy of the set of completed tasks. */
  public BitSet completedTasks() {
    return (BitSet) completed.clone();
  }

  /** Returns whether exactly these tasks are completed. */
  public boolean hasCompletedExactly(BitSet tasksCompleted) {
    return completed.equals(tasksCompleted);
  }

  /** Returns the number of tasks that are not completed. */
  public int unfinishedTaskCount() {
    return tasks - completed.cardinality();
  }

  /** Returns the number of tasks that are neither completed nor attempted. */
  public int freeTaskCount() {
    return unfinishedTaskCount() - attempts.count();
  }

  /** Returns the number of tasks that wait for free resources, including queued attempts. */
  public int waitingTaskCount() {
    return freeTaskCount() + attempts.queuedCount();
  }

  /** Returns whether any task waits for free resources, including queued attempts. */
  public boolean hasWaitingTasks() {
    return freeTaskCount() > 0 || hasQueuedAttempts();
  }

  /** Returns the first task from {@code from} on that is neither completed nor attempted. */
  public OptionalInt nextFreeTask(int from) {
    return attempts.nextFree(from, completed, tasks);
  }

  /** Adds an attempt. An attempt in phase QUEUED waits for free resources of its machine. */
  public void addAttempt(Attempt attempt) {
    attempts.add(attempt);
  }

  /** Records that a queued attempt no longer waits for free resources. */
  public void dequeue(Attempt attempt) {
    attempts.dequeue(attempt);
  }

  /** Removes an attempt. Its task becomes free unless another attempt has replaced this one. */
  public void removeAttempt(Attempt attempt) {
    attempts.remove(attempt);
  }

  /** Returns the attempt of a task; null if there is none. */
  public Attempt attempt(int index) {
    return attempts.get(index);
  }

  /** Returns whether the task has an attempt, in any phase. */
  public boolean isAttempted(int index) {
    return attempts.get(index) != null;
  }

  /** Returns an unmodifiable view of the attempts. */
  public Collection<Attempt> attempts() {
    return attempts.all();
  }

  /** Returns the number of attempts. */
  public int attemptCount() {
    return attempts.count();
  }

  /** Returns a copy of the queued attempts, the longest waiting one first. */
  public List<Attempt> queuedAttempts() {
    return attempts.copyOfQueued();
  }

  /** Returns the number of queued attempts. */
  public int queuedAttemptCount() {
    return attempts.queuedCount();
  }

  /** Returns whether there are queued attempts. */
  public boolean hasQueuedAttempts() {
    return attempts.queuedCount() > 0;
  }

  /** Returns the number of attempts last reported as running or saving a checkpoint. */
  public int runningCount() {
    return attempts.runningCount();
  }

  /** Sets the effective priority. Jobs with the smallest value are served first. */
  public void setEffectivePriority(int priority) {
    effectivePriority = priority;
  }

  /** Returns the effective priority as of the last pass; the smallest value is served first. */
  public int effectivePriority() {
    return effectivePriority;
  }

  /** Returns whether the other job has precedence by the effective priorities of the last pass. */
  public boolean isLessUrgentThan(Job other) {
    return effectivePriority > other.effectivePriority;
  }

  /** Returns whether any task has ever been placed, as far as this leader knows. */
  public boolean hasStarted() {
    return started;
  }

  /**
   * Records that a task was placed.
   *
   * @return whether the task is the first placed task of the job
   */
  public boolean markStarted() {
    boolean first = !started;
    started = true;
    return first;
  }

  /** Records that tasks of other teams were preempted for this job. */
  public void recordPreemption(long nowMicros) {
    lastPreemptionMicros = nowMicros;
  }

  /** Returns the time at which tasks were last preempted for this job; 0 if never. */
  public long lastPreemptionMicros() {
    return lastPreemptionMicros;
  }

  /** Records that a task of the job failed on a machine. */
  public void recordFailure(String machineId, long nowMicros) {
    failures.recordFailure(machineId, nowMicros);
  }

  /** Returns whether tasks may be placed now; false during a delay after failures. */
  public boolean mayRetry(long nowMicros) {
    return failures.mayRetry(nowMicros);
  }

  /** Returns whether a task has failed on the machine since the last success. */
  public boolean hasFailedOn(String machineId) {
    return failures.hasFailedOn(machineId);
  }

  /** Returns the number of machines on which a task has failed since the last success. */
  public int failedMachineCount() {
    return failures.failedMachineCount();
  }

  /** Returns whether tasks failed on enough machines to suggest that the job itself is faulty. */
  public boolean isLikelyFaulty() {
    return failures.failedMachineCount() >= MIN_FAILED_MACHINES_OF_FAULTY_JOB;
  }
}
