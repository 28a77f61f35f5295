package org.eiderstair.core.model;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

/** The attempts of one job, at most one for each task. */
final class JobAttempts {
  private final Map<Integer, Attempt> byTask = new HashMap<>();

  /** Attempts that wait for free resources of their machine, the longest waiting one first. */
  private final Set<Attempt> queued = new LinkedHashSet<>();

  /** No task below this index is free. This bound avoids a scan over all tasks. */
  private int lowestFree;

  void add(Attempt attempt) {
    byTask.put(attempt.index(), attempt);
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      queued.add(attempt);
    }
  }

  void dequeue(Attempt attempt) {
    queued.remove(attempt);
  }

  /** Removes the attempt unless another attempt has replaced it. */
  void remove(Attempt attempt) {
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      queued.remove(attempt);
    }
    if (byTask.get(attempt.index()) == attempt) {
      byTask.remove(attempt.index());
      lowestFree = Math.min(lowestFree, attempt.index());
    }
  }

  void clear() {
    byTask.clear();
    queued.clear();
    lowestFree = 0;
  }

  /** Returns the attempt of a task; null if there is none. */
  Attempt get(int index) {
    return byTask.get(index);
  }

  int count() {
    return byTask.size();
  }

  Collection<Attempt> all() {
    return Collections.unmodifiableCollection(byTask.values());
  }

  List<Attempt> copyOfQueued() {
    return new ArrayList<>(queued);
  }

  int queuedCount() {
    return queued.size();
  }

  int runningCount() {
    int running = 0;
    for (Attempt attempt : byTask.values()) {
      Heartbeat.TaskState state = attempt.reportedState();
      if (state == Heartbeat.TaskState.RUNNING || state == Heartbeat.TaskState.SAVING) {
        running++;
      }
    }
    return running;
  }

  /**
   * Returns the first task from {@code from} on that is neither completed nor attempted.
   *
   * @param tasks the total number of tasks of the job
   */
  OptionalInt nextFree(int from, BitSet completed, int tasks) {
    int index = completed.nextClearBit(Math.max(from, lowestFree));
    while (index < tasks) {
      if (!byTask.containsKey(index)) {
        return OptionalInt.of(index);
      }
      if (index == lowestFree) {
        lowestFree = index + 1;
      }
      index = completed.nextClearBit(index + 1);
    }
    return OptionalInt.empty();
  }
}
