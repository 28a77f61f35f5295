package org.eiderstair.core.capacity;

import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;

/** A running or pending machine and the share of it that is not assigned to demand. */
final class PlannedMachine {
  /** A larger share counts as the whole machine, to tolerate rounding errors. */
  private static final double WHOLE_SHARE = 0.999;

  /** The smallest share of a machine that a task is assumed to need. */
  private static final double MIN_TASK_SHARE = 1e-3;

  private final Machine machine;
  private double unassignedShare = 1;

  PlannedMachine(Machine machine) {
    this.machine = machine;
  }

  Machine machine() {
    return machine;
  }

  boolean isSpot() {
    return machine.isSpot();
  }

  boolean isBusy() {
    return !machine.attempts().isEmpty();
  }

  boolean allows(JobSpec spec) {
    return machine.allows(spec);
  }

  /** Returns whether no demand is assigned to the machine. */
  boolean isUnassigned() {
    return unassignedShare > WHOLE_SHARE;
  }

  /**
   * Assigns tasks to the unassigned share of the machine.
   *
   * @param tasks the number of tasks, not necessarily a whole number
   * @return the number of tasks assigned; 0 if the machine does not allow such tasks
   */
  double assign(JobSpec spec, double tasks) {
    if (!machine.allows(spec)) {
      return 0;
    }
    double taskShare = taskShare(spec, machine.type());
    double assigned = Math.min(tasks, unassignedShare / taskShare);
    unassignedShare -= assigned * taskShare;
    return assigned;
  }

  /** Returns the share of a machine of the type that one task needs of its scarcest resource. */
  static double taskShare(JobSpec spec, MachineType type) {
    double share = Math.max(spec.cpus() / type.cpus(), spec.memoryGb() / type.memoryGb());
    if (type.accelerators() > 0) {
      share = Math.max(share, spec.accelerators() / type.accelerators());
    }
    return Math.max(share, MIN_TASK_SHARE);
  }
}
