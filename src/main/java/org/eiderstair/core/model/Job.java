package org.eiderstair.core.model;

import java.util.BitSet;
import java.util.Collection;
import java.util.List;
import java.util.OptionalInt;

/**
 * A job as this node knows it: its state and durable progress as the state service holds them, and,
 * at the leader, which tasks are completed and where the others are attempted. A task has at most
 * one attempt that may be alive; only when that attempt is proven to have ended does the task
 * become free again.
 *
 * <p>Tasks are numbered from 0; times are microseconds of this node's clock.
 */
public final class Job {
  private static final int LIKELY_FAULTY_MACHINES = 3;

  /** OPEN until its tasks are done or its user cancels it; the other two are final. */
  public enum State {
    OPEN,
    DONE,
    CANCELLED
  }

  private final String id;
  private final long submittedMicros;
  private State state = State.OPEN;
  private long version;
  private int tasks;
  private int finalDone;
  private long cancelledMicros;
  private long cancellationSeenMicros;

  /**
   * Null once the job is done: the history must stay small. A cancelled job keeps it, since a later
   * leader may still find its tasks on machines and must count what they use.
   */
  private JobSpec spec;

  private final DurableProgress durableProgress = new DurableProgress();

  /** Tasks that workers showed to be completed, whether that is durable or not; at the leader. */
  private BitSet completed = new BitSet();

  private final JobAttempts attempts = new JobAttempts();
  private final FailureBackoff failures = new FailureBackoff();
  private int effectivePriority;
  private boolean started;
  private long lastPreemptionMicros;

  /**
   * @param submittedMicros when its user submitted it, as far as this node knows
   */
  public Job(String id, long submittedMicros) {
    this.id = id;
    this.submittedMicros = submittedMicros;
  }

  /** The id that its user gave it. */
  public String id() {
    return id;
  }

  /** When its user submitted it, as far as this node knows. */
  public long submittedMicros() {
    return submittedMicros;
  }

  /** Whether it is open or final. */
  public State state() {
    return state;
  }

  /** The version of its key in the state service. */
  public long version() {
    return version;
  }

  /** How many tasks it has. */
  public int tasks() {
    return tasks;
  }

  /** Its description; null once it is done. */
  public JobSpec spec() {
    return spec;
  }

  /** Whether it is neither done nor cancelled. */
  public boolean open() {
    return state == State.OPEN;
  }

  /** How many tasks were done when the job became final; kept for display. */
  public int finalDone() {
    return finalDone;
  }

  /**
   * Applies what the state service holds: the one place where a job changes state. What is not
   * newer is ignored, and a final state never changes, since users may have read it.
   *
   * @param withSpec its description; null to keep the known one
   * @param doneCount how many tasks were done when it was cancelled, as far as that is stored
   */
  public void transitionTo(
      State next, long atVersion, int taskCount, JobSpec withSpec, int doneCount) {
    if (atVersion <= version || (state != State.OPEN && next != state)) {
      return;
    }
    state = next;
    version = atVersion;
    tasks = taskCount;
    if (withSpec != null) {
      spec = withSpec;
    }
    if (next != State.OPEN) {
      finalDone =
          next == State.DONE ? taskCount : Math.max(doneCount, durableProgress.completedCount());
      durableProgress.release();
    }
  }

  /** Drops what only an open job needs, once nothing of it is on a machine any more. */
  public void releaseIfDone() {
    if (state == State.DONE && attempts.count() == 0) {
      spec = null;
      completed = new BitSet();
    }
  }

  /** When it was cancelled, as far as that is known; never later than when this node saw it. */
  public long cancelledMicros() {
    return cancelledMicros;
  }

  /** Sets when it was cancelled, if it was. */
  public void setCancelledMicros(long micros) {
    cancelledMicros = micros;
  }

  /** When this node saw that it was cancelled. */
  public long cancellationSeenMicros() {
    return cancellationSeenMicros;
  }

  /** This node has seen that it was cancelled. */
  public void markCancellationSeen(long nowMicros) {
    cancellationSeenMicros = nowMicros;
  }

  /**
   * Progress of this version is stored. The version counts even if what is stored can't be read.
   *
   * @return whether it is newer than what is known, and of use since the job is open
   */
  public boolean advanceProgressTo(long progressVersion) {
    if (!open() || progressVersion <= durableProgress.version()) {
      return false;
    }
    durableProgress.advanceTo(progressVersion);
    return true;
  }

  /** Sets what the state service holds as of the version last advanced to. */
  public void setDurableProgress(BitSet completedTasks, int runningTasks) {
    durableProgress.set(completedTasks, runningTasks);
  }

  /** A read showed that no progress was stored as of a revision. */
  public void progressMissing(long atRevision) {
    durableProgress.missing(atRevision);
  }

  /** The version of its progress in the state service; 0 if none is stored. */
  public long progressVersion() {
    return durableProgress.version();
  }

  /** Whether the state service holds that the task is completed. */
  public boolean isDurablyCompleted(int index) {
    return durableProgress.isCompleted(index);
  }

  /** A copy of the set of tasks that the state service holds as completed. */
  public BitSet durablyCompletedTasks() {
    return durableProgress.copyOfCompleted();
  }

  /** How many tasks the state service holds as completed. */
  public int durablyCompleted() {
    return durableProgress.completedCount();
  }

  /** How many tasks the state service holds as running. */
  public int durablyRunning() {
    return durableProgress.running();
  }

  /** A new leader starts from what is durable, and knows of no attempts. */
  public void resetToDurable() {
    attempts.clear();
    completed = durableProgress.copyOfCompleted();
    started = durableProgress.hasStarted();
    failures.reset();
  }

  /** Whether a worker showed that the task is completed. */
  public boolean isCompleted(int index) {
    return completed.get(index);
  }

  /** Whether any task is completed. */
  public boolean hasCompletedTasks() {
    return !completed.isEmpty();
  }

  /** Whether an array has no more task to run; a service never ends by itself. */
  public boolean allTasksCompleted() {
    return spec.shape() == JobSpec.Shape.ARRAY && completed.cardinality() == tasks;
  }

  /**
   * A worker showed that a task is completed; earlier failures no longer count.
   *
   * @return whether this was not known before
   */
  public boolean markCompleted(int index) {
    if (completed.get(index)) {
      return false;
    }
    completed.set(index);
    failures.recordSuccess();
    return true;
  }

  /** A copy of the set of completed tasks. */
  public BitSet completedTasks() {
    return (BitSet) completed.clone();
  }

  /** Whether exactly these tasks are completed. */
  public boolean hasCompletedExactly(BitSet tasksCompleted) {
    return completed.equals(tasksCompleted);
  }

  /** How many tasks are not completed. */
  public int unfinishedTasks() {
    return tasks - completed.cardinality();
  }

  /** How many tasks are neither completed nor attempted. */
  public int freeTasks() {
    return unfinishedTasks() - attempts.count();
  }

  /** How many tasks wait for room on a machine, those queued for one included. */
  public int waitingTasks() {
    return freeTasks() + attempts.queuedCount();
  }

  /** Whether any task waits for room on a machine. */
  public boolean hasWaitingTasks() {
    return freeTasks() > 0 || hasQueuedAttempts();
  }

  /** The lowest-numbered task from {@code from} on that is neither completed nor attempted. */
  public OptionalInt nextFreeTask(int from) {
    return attempts.nextFree(from, completed, tasks);
  }

  /** An attempt at one of its tasks begins; one in the phase QUEUED waits for a machine's room. */
  public void addAttempt(Attempt attempt) {
    attempts.add(attempt);
  }

  /** A queued attempt no longer waits for a machine's room. */
  public void dequeue(Attempt attempt) {
    attempts.dequeue(attempt);
  }

  /** An attempt is no longer possibly on a machine: its task is free, unless attempted again. */
  public void removeAttempt(Attempt attempt) {
    attempts.remove(attempt);
  }

  /** The attempt at a task; null if there is none. */
  public Attempt attempt(int index) {
    return attempts.get(index);
  }

  /** Whether a task is queued for a machine, on its way to one, or may be on one. */
  public boolean isAttempted(int index) {
    return attempts.get(index) != null;
  }

  /** The attempts at its tasks, for reading. */
  public Collection<Attempt> attempts() {
    return attempts.all();
  }

  /** How many tasks are attempted. */
  public int attemptCount() {
    return attempts.count();
  }

  /** The attempts that wait for a machine's room, the one that waited longest in front; a copy. */
  public List<Attempt> queuedAttempts() {
    return attempts.copyOfQueued();
  }

  /** How many attempts wait for a machine's room. */
  public int queuedAttemptCount() {
    return attempts.queuedCount();
  }

  /** Whether attempts wait for a machine's room. */
  public boolean hasQueuedAttempts() {
    return attempts.queuedCount() > 0;
  }

  /** How many tasks machines show as running. */
  public int runningCount() {
    return attempts.runningCount();
  }

  /** Sets in which order the job is served; jobs of the smallest value are served first. */
  public void setEffectivePriority(int priority) {
    effectivePriority = priority;
  }

  /** The order of service as of the last pass: jobs of the smallest value are served first. */
  public int effectivePriority() {
    return effectivePriority;
  }

  /** Whether the other job was to be served first as of the last pass. */
  public boolean isLessUrgentThan(Job other) {
    return effectivePriority > other.effectivePriority;
  }

  /** Whether any of its tasks has ever been placed, as far as this leader knows. */
  public boolean hasStarted() {
    return started;
  }

  /**
   * A task has been placed.
   *
   * @return whether it is the first one of the job
   */
  public boolean markStarted() {
    boolean first = !started;
    started = true;
    return first;
  }

  /** Tasks of other teams have been preempted for this job. */
  public void recordPreemption(long nowMicros) {
    lastPreemptionMicros = nowMicros;
  }

  /** When tasks were last preempted for this job; 0 if never. */
  public long lastPreemptionMicros() {
    return lastPreemptionMicros;
  }

  /** One of its tasks has failed on a machine. */
  public void recordFailure(String machineId, long nowMicros) {
    failures.recordFailure(machineId, nowMicros);
  }

  /** Whether its tasks may be placed, or are delayed after failures. */
  public boolean mayRetry(long nowMicros) {
    return failures.mayRetry(nowMicros);
  }

  /** Whether a task has failed on the machine since the last success. */
  public boolean hasFailedOn(String machineId) {
    return failures.hasFailedOn(machineId);
  }

  /** On how many machines a task has failed since the last success. */
  public int failedMachines() {
    return failures.failedMachines();
  }

  /** Whether its tasks have failed on so many machines that the job itself is likely at fault. */
  public boolean isLikelyFaulty() {
    return failures.failedMachines() >= LIKELY_FAULTY_MACHINES;
  }
}
