package org.eiderstair.core.model;

import java.util.BitSet;

/** The progress of a job as stored in the state service. */
final class DurableProgress {
  private BitSet completed = new BitSet();
  private int running;

  /** The version of the progress key; 0 if the key does not exist. */
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

  /** Records that the key did not exist at a revision. Progress with a later version is kept. */
  void recordMissing(long atRevision) {
    if (version <= atRevision) {
      version = 0;
    }
  }

  /** Drops the data that only an open job needs. */
  void release() {
    completed = new BitSet();
    running = 0;
  }
}
