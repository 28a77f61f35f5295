package org.eiderstair.core;

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
final class Job {

  /** OPEN until its tasks are done or its user cancels it; the other two are final. */
  enum State {
    OPEN,
    DONE,
    CANCELLED
  }

  final String id;
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
  BitSet durable = new BitSet();

  long progressVersion;
  int shownRunning;

  // What follows is the leader's picture.
  /** Tasks seen done, whether durable or not. */
  BitSet done = new BitSet();

  final Map<Integer, Attempt> active = new HashMap<>();

  /** The order of service as of the last pass, the smallest first. */
  int rank;

  /** Whether any of its tasks has ever been placed, as far as this leader knows. */
  boolean begun;

  /**
   * Those of them that wait at the leader for a machine's room, the one that has waited longest in
   * front.
   */
  final Set<Attempt> queued = new LinkedHashSet<>();

  long seenMicros;
  long cancelSeenMicros;

  /** When it was cancelled, as far as that is known; never later than when this node saw it. */
  long cancelledMicros;

  /**
   * Machines on which a task failed since the last success; each one more makes the next pause
   * longer.
   */
  final Set<String> failedOn = new HashSet<>();

  /**
   * When work of others was last stopped for this job: what that frees must first have had time to
   * arrive.
   */
  long preemptedMicros;

  int failedRounds;
  long notBeforeMicros;
  private int firstFree;

  Job(String id) {
    this.id = id;
  }

  State state() {
    return state;
  }

  long version() {
    return version;
  }

  int tasks() {
    return tasks;
  }

  JobSpec spec() {
    return spec;
  }

  boolean open() {
    return state == State.OPEN;
  }

  /** The one place where a job changes state. A final state never changes: users have been told. */
  void become(State next, long atVersion, int taskCount, JobSpec withSpec, int doneCount) {
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
  void shrink() {
    if (state == State.DONE && active.isEmpty()) {
      spec = null;
      done = new BitSet();
    }
  }

  /**
   * The lowest-numbered task that is neither done nor possibly somewhere, from {@code from} on; -1
   * if none.
   */
  int nextFree(int from) {
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

  void freed(int index) {
    firstFree = Math.min(firstFree, index);
  }

  /** A new leader starts from what is durable, and knows of no attempts. */
  void forgetPlaces() {
    active.clear();
    done = (BitSet) durable.clone();
    firstFree = 0;
    queued.clear();
    begun = !durable.isEmpty() || shownRunning > 0;
    failedOn.clear();
    failedRounds = 0;
    notBeforeMicros = 0;
  }

  int runningCount() {
    int running = 0;
    for (Attempt a : active.values()) {
      if (a.shown == MachineReport.TaskState.RUNNING || a.shown == MachineReport.TaskState.SAVING) {
        running++;
      }
    }
    return running;
  }

  int unfinished() {
    return tasks - done.cardinality();
  }

  boolean hasQueued() {
    return !queued.isEmpty();
  }

  int waiting() {
    return tasks - done.cardinality() - active.size();
  }

  Answer.JobView view(int status) {
    return switch (state) {
      case DONE -> new Answer.JobView(status, id, Answer.Phase.DONE, tasks, 0);
      case CANCELLED -> new Answer.JobView(status, id, Answer.Phase.CANCELLED, finalDone, 0);
      case OPEN ->
          new Answer.JobView(
              status,
              id,
              shownRunning > 0 ? Answer.Phase.RUNNING : Answer.Phase.PENDING,
              durable.cardinality(),
              shownRunning);
    };
  }
}
