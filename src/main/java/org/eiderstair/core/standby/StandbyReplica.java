package org.eiderstair.core.standby;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.eiderstair.core.message.ReplicationBatch;

/** The follower's side: a leader's state, as far as it was acknowledged. */
final class StandbyReplica {

  /** What the replica is good for. */
  enum State {
    /** It has nothing of use. */
    EMPTY,
    /** It has the beginning of a snapshot. */
    RECEIVING_SNAPSHOT,
    /** It has a complete snapshot, follows the changes, and acknowledges them. */
    FOLLOWING,
    /**
     * It is complete and does not change any more: this node asks to lead, so it acknowledges
     * nothing of this or older terms.
     */
    FROZEN
  }

  private record Task(String job, int index) {}

  /** What may be on a machine in its latest incarnation. */
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
  private long snapshot;
  private long lastSequence;
  private final Map<String, MachineState> machines = new HashMap<>();

  State state() {
    return state;
  }

  /** The term of the leader that it follows, or followed last. */
  long term() {
    return term;
  }

  boolean isComplete() {
    return state == State.FOLLOWING || state == State.FROZEN;
  }

  int machineCount() {
    return machines.size();
  }

  /** All that may be anywhere, by machine. */
  Map<String, RecoveredMachine> recoveredMachines() {
    Map<String, RecoveredMachine> recovered = new LinkedHashMap<>();
    machines.forEach((id, machine) -> recovered.put(id, machine.recovered()));
    return recovered;
  }

  /** The one function for every change of state. */
  private void become(State next) {
    state = next;
  }

  /**
   * Takes a batch.
   *
   * @return whether all changes up to its end are here now
   */
  boolean receive(ReplicationBatch batch) {
    if (beginsAnew(batch)) {
      if (batch.firstSequence() != 1) {
        return false;
      }
      startSnapshot(batch);
    } else if (isOutdated(batch) || state == State.EMPTY || state == State.FROZEN) {
      return false;
    }
    if (batch.firstSequence() > lastSequence + 1) {
      // A gap: what is missing may be on a machine, so the rest is worth nothing.
      clear();
      return false;
    }
    applyNew(batch);
    boolean repeated = batch.lastSequence() < lastSequence;
    lastSequence = Math.max(lastSequence, batch.lastSequence());
    if (!batch.snapshotIncomplete() && !repeated && state == State.RECEIVING_SNAPSHOT) {
      become(State.FOLLOWING);
    }
    return true;
  }

  private boolean beginsAnew(ReplicationBatch batch) {
    return batch.term() > term || (batch.term() == term && batch.snapshot() > snapshot);
  }

  private boolean isOutdated(ReplicationBatch batch) {
    return batch.term() < term || batch.snapshot() < snapshot;
  }

  private void startSnapshot(ReplicationBatch batch) {
    term = batch.term();
    snapshot = batch.snapshot();
    lastSequence = 0;
    machines.clear();
    become(State.RECEIVING_SNAPSHOT);
  }

  private void applyNew(ReplicationBatch batch) {
    long sequence = batch.firstSequence();
    for (ReplicationBatch.Change change : batch.changes()) {
      if (sequence > lastSequence) {
        apply(change);
      }
      sequence++;
    }
  }

  private void apply(ReplicationBatch.Change change) {
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

  /** From now on nothing of this or an older term is acknowledged. */
  void freeze() {
    if (state == State.FOLLOWING) {
      become(State.FROZEN);
    } else if (state == State.RECEIVING_SNAPSHOT) {
      clear();
    }
  }

  /** Nothing of it is of use any more; a later snapshot begins anew. */
  void clear() {
    machines.clear();
    become(State.EMPTY);
  }
}
