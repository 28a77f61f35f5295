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

  /** Durable progress: what the state service has. */
  public BitSet durable = new BitSet();

  public long progressVersion;
  public int shownRunning;

  // What follows is the leader's picture.
  /** Tasks seen done, whether durable or not. */
  public BitSet done = new BitSet();

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

  public long seenMicros;
  public long cancelSeenMicros;

  /** When it was cancelled, as far as that is known; never later than when this node saw it. */
  public long cancelledMicros;

  private int firstFree;

  public Job(String id) {
    this.id = id;
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
      finalDone = next == State.DONE ? taskCount : Math.max(doneCount, durable.cardinality());
      durable = new BitSet();
      shownRunning = 0;
    }
  }

  /** Drops what only an open job needs, once nothing of it is on a machine any more. */
  public void shrink() {
    if (state == State.DONE && active.isEmpty()) {
      spec = null;
      done = new BitSet();
    }
  }

  /**
   * The lowest-numbered task that is neither done nor possibly somewhere, from {@code from} on; -1
   * if none.
   */
  public int nextFree(int from) {
    for (int i = Math.max(from, firstFree); i < tasks; i++) {
      i = done.nextClearBit(i);
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
    done = (BitSet) durable.clone();
    firstFree = 0;
    queued.clear();
    started = !durable.isEmpty() || shownRunning > 0;
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

  /** One of its tasks has succeeded: earlier failures no longer count. */
  public void recordSuccess() {
    failures.recordSuccess();
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
    return tasks - done.cardinality();
  }

  /** Whether attempts wait at the leader for room on a machine. */
  public boolean hasQueued() {
    return !queued.isEmpty();
  }

  /** How many tasks are neither done nor on their way to a machine. */
  public int waiting() {
    return tasks - done.cardinality() - active.size();
  }

  /** How many tasks were done when the job became final; kept for display. */
  public int finalDone() {
    return finalDone;
  }
}
