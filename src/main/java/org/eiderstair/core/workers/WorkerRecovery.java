package org.eiderstair.core.workers;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.standby.RecoveredMachine;
import org.eiderstair.core.state.Replica;

/**
 * Recovers the machines and attempts of earlier terms for a new leader, and takes the snapshot that
 * a leader replicates to its standby.
 */
final class WorkerRecovery {
  private final TermContext context;
  private final Replica replica;
  private final WorkerRegistry registry;
  private final AttemptTracker tracker;

  WorkerRecovery(
      TermContext context, Replica replica, WorkerRegistry registry, AttemptTracker tracker) {
    this.context = context;
    this.replica = replica;
    this.registry = registry;
    this.tracker = tracker;
  }

  /**
   * Adds the registered machines. Without a replica, each machine may run tasks of earlier terms
   * until it is confirmed. With a replica, a machine runs no more than the replicated attempts, and
   * a machine that was not replicated runs none.
   *
   * @param replicated the replicated machines by name; empty without a complete replica
   */
  void recover(Optional<Map<String, RecoveredMachine>> replicated) {
    Machine.Phase phase =
        replicated.isPresent() ? Machine.Phase.RECOVERED : Machine.Phase.UNCONFIRMED;
    for (Replica.RegisteredWorker worker : replica.registeredWorkers()) {
      Machine machine = new Machine(worker.machine(), context.term(), phase, context.nowMicros());
      registry.describe(machine, worker.address(), worker.type(), worker.zone(), worker.spot());
      machine.markRegistered();
      registry.add(machine);
      RecoveredMachine recovered =
          replicated.map(machines -> machines.get(machine.id())).orElse(null);
      if (recovered != null) {
        recoverAttempts(machine, recovered);
      }
    }
  }

  private void recoverAttempts(Machine machine, RecoveredMachine recovered) {
    machine.recoverIncarnation(recovered.incarnation());
    for (Map.Entry<String, Map<Integer, Long>> jobEntry : recovered.attempts().entrySet()) {
      Job job = replica.job(jobEntry.getKey());
      jobEntry
          .getValue()
          .forEach(
              (index, number) -> {
                if (isRecoverable(job, index)) {
                  tracker.attach(new Attempt(job, index, number, machine, Attempt.Phase.REPORTED));
                }
              });
    }
    machine.recomputeFreeResources();
    registry.updateQueueable(machine);
    tracker.freeResourcesChanged(machine);
  }

  /**
   * Returns whether an attempt of a task can be recovered. A task that is completed, or whose job
   * has no specification, can only be killed once a heartbeat reports it.
   */
  private static boolean isRecoverable(Job job, int index) {
    return job != null
        && job.spec() != null
        && index < job.tasks()
        && !job.isCompleted(index)
        && !job.isAttempted(index);
  }

  /** Passes the state of all machines that a standby must hold to the consumer. */
  void snapshot(Consumer<ReplicationBatch.Change> consumer) {
    for (Machine machine : registry.machines().values()) {
      if (machine.incarnation() > 0) {
        consumer.accept(
            new ReplicationBatch.Change(true, machine.id(), machine.incarnation(), "", 0, 0));
      }
      for (Attempt attempt : machine.attempts()) {
        if (attempt.mayBeOnMachine()) {
          consumer.accept(AttemptTracker.toChange(attempt, true));
        }
      }
    }
  }
}
