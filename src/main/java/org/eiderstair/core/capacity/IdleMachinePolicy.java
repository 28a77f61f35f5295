package org.eiderstair.core.capacity;

import org.eiderstair.core.model.Machine;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.workers.WorkerManager;

/** Marks machines that exceed the demand and releases those that are idle. */
final class IdleMachinePolicy {
  /** Minimum billing time of a machine; an earlier release saves nothing. */
  private static final long MIN_BILLED_MICROS = 60_000_000;

  private final Settings settings;
  private final WorkerManager workers;
  private final ScaleIn scaleIn;
  private final CapacityClock clock;

  IdleMachinePolicy(
      Settings settings, WorkerManager workers, ScaleIn scaleIn, CapacityClock clock) {
    this.settings = settings;
    this.workers = workers;
    this.scaleIn = scaleIn;
    this.clock = clock;
  }

  /** Applies the plan. Machines that are not in the plan do not count as excess. */
  void apply(CapacityPlan plan) {
    for (Machine machine : workers.machines().values()) {
      machine.setExcess(false);
    }
    for (PlannedMachine planned : plan.machines()) {
      Machine machine = planned.machine();
      machine.setExcess(planned.isUnassigned());
      machine.setReservedForOnDemand(
          plan.scalesInOnDemandMachines() && machine.isExcess() && !machine.isSpot());
      if (machine.isExcess() && isIdle(machine)) {
        scaleIn.release(machine, "idle");
      }
    }
  }

  private boolean isIdle(Machine machine) {
    long now = clock.nowMicros();
    return machine.phase() == Machine.Phase.CONFIRMED
        && machine.attempts().isEmpty()
        && now > machine.idleSinceMicros() + settings.tuning().idleReturnMicros()
        && now > machine.createdMicros() + MIN_BILLED_MICROS;
  }
}
