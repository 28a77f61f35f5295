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

/** What a leader hands on to its standby, and what a new leader starts from. */
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
   * Adds the registered machines. Each may hold work of earlier terms until it is confirmed; with
   * what was replicated, no more than that, and one that was not replicated holds nothing.
   */
  void recover(Optional<Map<String, RecoveredMachine>> replicated) {
    Machine.Phase phase =
        replicated.isPresent() ? Machine.Phase.RECOVERED : Machine.Phase.UNCONFIRMED;
    for (Replica.RegisteredWorker worker : replica.registeredWorkers()) {
      Machine machine = new Machine(worker.machine(), context.term(), phase, context.nowMicros());
      registry.describe(machine, worker.address(), worker.type(), worker.zone(), worker.spot());
      machine.markRegistered();
      registry.add(machine);
      RecoveredMachine held = replicated.map(machines -> machines.get(machine.id())).orElse(null);
      if (held != null) {
        recoverAttempts(machine, held);
      }
    }
  }

  private void recoverAttempts(Machine machine, RecoveredMachine held) {
    machine.recoverIncarnation(held.incarnation());
    for (Map.Entry<String, Map<Integer, Long>> jobEntry : held.attempts().entrySet()) {
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

  /** A task that is done, or whose job has no description, can only be killed, once reported. */
  private static boolean isRecoverable(Job job, int index) {
    return job != null
        && job.spec() != null
        && index < job.tasks()
        && !job.isCompleted(index)
        && !job.isAttempted(index);
  }

  /** Gives out all that a standby must know of the machines. */
  void snapshot(Consumer<ReplicationBatch.Change> consumer) {
    for (Machine machine : registry.machines().values()) {
      if (machine.incarnation() > 0) {
        consumer.accept(
            new ReplicationBatch.Change(true, machine.id(), machine.incarnation(), "", 0, 0));
      }
      for (Attempt attempt : machine.attempts()) {
        if (attempt.mayBeOnMachine()) {
          consumer.accept(AttemptTracker.change(attempt, true));
        }
      }
    }
  }
}
