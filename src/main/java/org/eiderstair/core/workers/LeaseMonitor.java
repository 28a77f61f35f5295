package org.eiderstair.core.workers;

import java.util.Set;
import org.eiderstair.core.model.Machine;

/**
 * Frees the tasks of machines whose lease has certainly expired. A worker whose heartbeats got no
 * answer for that long has killed its tasks.
 */
final class LeaseMonitor {
  /** Covers the worker's timer and the transmission of the last answer. */
  private static final long LEASE_MARGIN_MICROS = 1_500_000;

  /** Covers clocks that run at different speeds: the lease divided by this is added to it. */
  private static final long CLOCK_DRIFT_DIVISOR = 1000;

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

  /** Expires the leases that are due and frees the tasks of their machines. */
  void expireDue() {
    long leaseMicros = context.settings().workerTimings().leaseMicros();
    long expiryDelayMicros = leaseMicros + leaseMicros / CLOCK_DRIFT_DIVISOR + LEASE_MARGIN_MICROS;
    Set<Machine> leased = registry.leased();
    while (!leased.isEmpty()) {
      Machine longestUnanswered = leased.iterator().next();
      if (context.nowMicros() <= longestUnanswered.answeredMicros() + expiryDelayMicros) {
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
