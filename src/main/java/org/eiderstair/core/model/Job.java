package org.eiderstair.core.model;

import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;

/**
 * A job as this node knows it, and, at the leader, where its tasks are. A task has at most one
 * attempt that may be alive; only when that attempt is proven gone does the task become free again.
 */
public final class Job {

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

  /** The order of service as of the last pass, the smallest first. */
  public int rank;

  /** Whether any of its tasks has ever been placed, as far as this leader knows. */
  public boolean begun;

  /**
   * Those of them that wait at the leader for a machine's room, the one that has waited longest in
   * front.
   */
  public final Set<Attempt> queued = new LinkedHashSet<>();

  public long seenMicros;
  public long cancelSeenMicros;

  /** When it was cancelled, as far as that is known; never later than when this node saw it. */
  public long cancelledMicros;

  /**
   * Machines on which a task failed since the last success; each one more makes the next pause
   * longer.
   */
  public final Set<String> failedOn = new HashSet<>();

  /**
   * When work of others was last stopped for this job: what that frees must first have had time to
   * arrive.
   */
  public long preemptedMicros;

  public int failedRounds;
  public long notBeforeMicros;
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
    begun = !durable.isEmpty() || shownRunning > 0;
    failedOn.clear();
    failedRounds = 0;
    notBeforeMicros = 0;
  }

  /** How many tasks machines show as running. */
  public int runningCount() {
    int running = 0;
    for (Attempt a : active.values()) {
      if (a.reportedState == Heartbeat.TaskState.RUNNING
          || a.reportedState == Heartbeat.TaskState.SAVING) {
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
