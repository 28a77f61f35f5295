package org.eiderstair.core.model;

import java.util.BitSet;

/** The progress of a job as the state service holds it. */
final class DurableProgress {
  private BitSet completed = new BitSet();
  private int running;

  /** The version of its key; 0 if there is no such key. */
  private long version;

  long version() {
    return version;
  }

  int running() {
    return running;
  }

  boolean isCompleted(int index) {
    return completed.get(index);
  }

  int completedCount() {
    return completed.cardinality();
  }

  boolean hasStarted() {
    return !completed.isEmpty() || running > 0;
  }

  BitSet copyOfCompleted() {
    return (BitSet) completed.clone();
  }

  void advanceTo(long newVersion) {
    version = newVersion;
  }

  void set(BitSet completedTasks, int runningTasks) {
    completed = completedTasks;
    running = runningTasks;
  }

  /** A read showed that the key did not exist as of a revision; what was written later does. */
  void missing(long atRevision) {
    if (version <= atRevision) {
      version = 0;
    }
  }

  /** Drops what only an open job needs. */
  void release() {
    completed = new BitSet();
    running = 0;
  }
}
