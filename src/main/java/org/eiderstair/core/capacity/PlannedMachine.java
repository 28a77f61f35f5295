package org.eiderstair.core.capacity;

import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;

/** A machine, running or on its way, and the share of it that no demand has been assigned yet. */
final class PlannedMachine {
  /** A larger share counts as the whole machine, in spite of rounding. */
  private static final double WHOLE_SHARE = 0.999;

  /** The least share of a machine that a task is taken to need. */
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

  /** Whether no demand was assigned to it. */
  boolean isUnassigned() {
    return unassignedShare > WHOLE_SHARE;
  }

  /**
   * Assigns tasks to the machine, as far as its share reaches.
   *
   * @param tasks how many tasks, not necessarily a whole number
   * @return how many of them were assigned
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

  /** The share of a machine of the type that one task needs, by its scarcest resource. */
  static double taskShare(JobSpec spec, MachineType type) {
    double share = Math.max(spec.cpus() / type.cpus(), spec.memoryGb() / type.memoryGb());
    if (type.accelerators() > 0) {
      share = Math.max(share, spec.accelerators() / type.accelerators());
    }
    return Math.max(share, MIN_TASK_SHARE);
  }
}
