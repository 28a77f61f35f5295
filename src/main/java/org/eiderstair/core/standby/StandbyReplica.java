package org.eiderstair.core.standby;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.eiderstair.core.message.ReplicationBatch;

/** The follower's side of the replication: the leader's state up to the last accepted batch. */
final class StandbyReplica {

  /** How complete the replica is, and whether it still accepts batches. */
  enum State {
    /** The replica holds no usable state. */
    EMPTY,
    /** The replica holds the first part of a snapshot. */
    RECEIVING_SNAPSHOT,
    /** The replica holds a complete snapshot, and applies and acknowledges changes. */
    FOLLOWING,
    /**
     * The replica is complete and no longer changes, because this node campaigns or takes over a
     * term. Further batches of this snapshot or an older one are not acknowledged. A newer snapshot
     * replaces the state.
     */
    FROZEN
  }

  private record Task(String job, int index) {}

  /** The attempts that may be on a machine in its latest known incarnation. */
  private static final class MachineState {
    long incarnation;
    final Map<Task, Long> attempts = new LinkedHashMap<>();

    RecoveredMachine recovered() {
      Map<String, Map<Integer, Long>> byJob = new LinkedHashMap<>();
      attempts.forEach(
          (task, attempt) ->
              byJob
                  .computeIfAbsent(task.job(), job -> new LinkedHashMap<>())
                  .put(task.index(), attempt));
      return new RecoveredMachine(incarnation, byJob);
    }
  }

  private State state = State.EMPTY;
  private long term;
  private long snapshotNumber;
  private long lastSequence;
  private final Map<String, MachineState> machines = new HashMap<>();

  State state() {
    return state;
  }

  /** Returns the term of the leader that is or was last followed; 0 if there was none. */
  long term() {
    return term;
  }

  boolean isComplete() {
    return state == State.FOLLOWING || state == State.FROZEN;
  }

  int machineCount() {
    return machines.size();
  }

  /** Returns all attempts that may be on any machine, by the machine's name. */
  Map<String, RecoveredMachine> recoveredMachines() {
    Map<String, RecoveredMachine> recovered = new LinkedHashMap<>();
    machines.forEach((id, machine) -> recovered.put(id, machine.recovered()));
    return recovered;
  }

  /** Sets the state; all state changes go through this method. */
  private void transitionTo(State next) {
    state = next;
  }

  /**
   * Applies the changes of a batch that are new to this replica.
   *
   * @return whether the replica now holds all changes up to the end of the batch
   */
  boolean receive(ReplicationBatch batch) {
    if (startsNewSnapshot(batch)) {
      if (batch.firstSequence() != 1) {
        return false;
      }
      startSnapshot(batch);
    } else if (isOutdated(batch) || state == State.EMPTY || state == State.FROZEN) {
      return false;
    }
    if (batch.firstSequence() > lastSequence + 1) {
      // After a gap the replica may lack attempts that are on machines, so it is discarded.
      clear();
      return false;
    }
    applyNewChanges(batch);
    boolean repeated = batch.lastSequence() < lastSequence;
    lastSequence = Math.max(lastSequence, batch.lastSequence());
    if (!batch.snapshotIncomplete() && !repeated && state == State.RECEIVING_SNAPSHOT) {
      transitionTo(State.FOLLOWING);
    }
    return true;
  }

  private boolean startsNewSnapshot(ReplicationBatch batch) {
    return batch.term() > term || (batch.term() == term && batch.snapshot() > snapshotNumber);
  }

  private boolean isOutdated(ReplicationBatch batch) {
    return batch.term() < term || batch.snapshot() < snapshotNumber;
  }

  private void startSnapshot(ReplicationBatch batch) {
    term = batch.term();
    snapshotNumber = batch.snapshot();
    lastSequence = 0;
    machines.clear();
    transitionTo(State.RECEIVING_SNAPSHOT);
  }

  private void applyNewChanges(ReplicationBatch batch) {
    long sequence = batch.firstSequence();
    for (ReplicationBatch.Change change : batch.changes()) {
      if (sequence > lastSequence) {
        apply(change);
      }
      sequence++;
    }
  }

  private void apply(ReplicationBatch.Change change) {
    // A change without a job concerns the machine itself.
    if (change.job().isEmpty() && !change.present()) {
      machines.remove(change.machine());
      return;
    }
    MachineState machine = machines.computeIfAbsent(change.machine(), id -> new MachineState());
    if (change.present()) {
      machine.incarnation = Math.max(machine.incarnation, change.incarnation());
    }
    if (!change.job().isEmpty()) {
      applyAttempt(machine, change);
    }
  }

  private static void applyAttempt(MachineState machine, ReplicationBatch.Change change) {
    Task task = new Task(change.job(), change.index());
    if (change.present()) {
      machine.attempts.put(task, change.attempt());
    } else {
      machine.attempts.remove(task, change.attempt());
    }
  }

  /**
   * Stops accepting batches of the current snapshot and of older ones. An incomplete snapshot is
   * discarded. A newer snapshot is still accepted.
   */
  void freeze() {
    if (state == State.FOLLOWING) {
      transitionTo(State.FROZEN);
    } else if (state == State.RECEIVING_SNAPSHOT) {
      clear();
    }
  }

  /** Discards all state; only a later snapshot is accepted from now on. */
  void clear() {
    machines.clear();
    transitionTo(State.EMPTY);
  }
}
