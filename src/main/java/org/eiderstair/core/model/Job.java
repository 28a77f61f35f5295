package org.eiderstair.core.model;

import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A job as this node knows it, and, at the leader, where its tasks are. A task has at most one
 * attempt that may be alive; only when that attempt is proven gone does the task become free again.
 */
public final class Job {
  private static final int LIKELY_FAULTY_MACHINES = 3;

  /** OPEN until its tasks are done or its user cancels it; the other two are final. */
  public enum State {
    OPEN,
    DONE,
    CANCELLED
  }

  public final String id;
  private State state = State.OPEN;
  private long version;
  private int tasks;
  private int finalDone;

  /**
   * Null once the job is done: the history must stay small. A cancelled job keeps it, since a later
   * leader may still find its tasks on machines and must count what they use.
   */
  private JobSpec spec;

  private final DurableProgress durableProgress = new DurableProgress();

  /** Tasks that workers showed to be completed, whether that is durable or not; at the leader. */
  private BitSet completed = new BitSet();

  public final Map<Integer, Attempt> active = new HashMap<>();

  private int effectivePriority;
  private boolean started;
  private final FailureBackoff failures = new FailureBackoff();
  private long lastPreemptionMicros;

  /**
   * Those of them that wait at the leader for a machine's room, the one that has waited longest in
   * front.
   */
  public final Set<Attempt> queued = new LinkedHashSet<>();

  private final long submittedMicros;
  private long cancelledMicros;
  private long cancellationSeenMicros;
  private int firstFree;

  /**
   * @param submittedMicros when its user submitted it, as far as this node knows
   */
  public Job(String id, long submittedMicros) {
    this.id = id;
    this.submittedMicros = submittedMicros;
  }

  /** When its user submitted it, as far as this node knows. */
  public long submittedMicros() {
    return submittedMicros;
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

  /** The one place where a job changes state. A final state never changes: users have been told. */
  public void become(State next, long atVersion, int taskCount, JobSpec withSpec, int doneCount) {
    if (atVersion <= version || state != State.OPEN && next != state) {
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
  public void shrink() {
    if (state == State.DONE && active.isEmpty()) {
      spec = null;
      completed = new BitSet();
    }
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

  /**
   * The lowest-numbered task that is neither done nor possibly somewhere, from {@code from} on; -1
   * if none.
   */
  public int nextFree(int from) {
    for (int i = Math.max(from, firstFree); i < tasks; i++) {
      i = completed.nextClearBit(i);
      if (i >= tasks) {
        return -1;
      }
      if (!active.containsKey(i)) {
        return i;
      }
      if (i == firstFree) {
        // Attempts come off again, so this is only a hint that freed() takes back.
        firstFree = i + 1;
      }
    }
    return -1;
  }

  /** A task is no longer possibly on a machine. */
  public void freed(int index) {
    firstFree = Math.min(firstFree, index);
  }

  /** A new leader starts from what is durable, and knows of no attempts. */
  public void forgetPlaces() {
    active.clear();
    completed = durableProgress.copyOfCompleted();
    firstFree = 0;
    queued.clear();
    started = durableProgress.hasStarted();
    failures.reset();
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

  /** How many tasks machines show as running. */
  public int runningCount() {
    int running = 0;
    for (Attempt a : active.values()) {
      if (a.reportedState() == Heartbeat.TaskState.RUNNING
          || a.reportedState() == Heartbeat.TaskState.SAVING) {
        running++;
      }
    }
    return running;
  }

  /** How many tasks are not done. */
  public int unfinished() {
    return tasks - completed.cardinality();
  }

  /** Whether attempts wait at the leader for room on a machine. */
  public boolean hasQueued() {
    return !queued.isEmpty();
  }

  /** How many tasks are neither done nor on their way to a machine. */
  public int waiting() {
    return tasks - completed.cardinality() - active.size();
  }

  /** How many tasks were done when the job became final; kept for display. */
  public int finalDone() {
    return finalDone;
  }
}
