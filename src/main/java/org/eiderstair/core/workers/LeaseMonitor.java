package org.eiderstair.core.workers;

import java.util.Set;
import org.eiderstair.core.model.Machine;

/**
 * Frees the tasks of machines whose lease has certainly expired: a worker that has had no answer
 * for so long has killed them.
 */
final class LeaseMonitor {
  /** Covers a worker's timer and the way of the last answer. */
  private static final long MARGIN_MICROS = 1_500_000;

  /** Covers clocks that run at different speeds: one part in so many. */
  private static final long DRIFT_DIVISOR = 1000;

  private final TermContext context;
  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
  private final AvailableMachines availableMachines;

  LeaseMonitor(
      TermContext context,
      WorkerRegistry registry,
      AttemptTracker tracker,
      AvailableMachines availableMachines) {
    this.context = context;
    this.registry = registry;
    this.tracker = tracker;
    this.availableMachines = availableMachines;
  }

  /** Expires leases. */
  void expireDue() {
    long leaseMicros = context.settings().workerTimings().leaseMicros();
    long boundMicros = leaseMicros + leaseMicros / DRIFT_DIVISOR + MARGIN_MICROS;
    Set<Machine> leased = registry.leased();
    while (!leased.isEmpty()) {
      Machine longestUnanswered = leased.iterator().next();
      if (context.nowMicros() <= longestUnanswered.answeredMicros() + boundMicros) {
        return;
      }
      expire(longestUnanswered);
    }
  }

  private void expire(Machine machine) {
    context.info("lease expired machine=" + machine.id());
    registry.changePhase(machine, Machine.Phase.LEASE_EXPIRED);
    availableMachines.remove(machine);
    tracker.freeAll(machine, "lease expired");
  }
}
