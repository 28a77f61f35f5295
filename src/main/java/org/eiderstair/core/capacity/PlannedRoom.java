package org.eiderstair.core.capacity;

import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;

/** The part of a machine, there or on its way, that the demand has not yet taken on paper. */
final class PlannedRoom {
  final Machine machine;
  double left = 1;

  PlannedRoom(Machine m) {
    machine = m;
  }

  /**
   * Takes room for that many tasks, not necessarily whole, and says for how many there was some.
   */
  double take(JobSpec spec, double tasks) {
    if (!machine.allows(spec)) {
      return 0;
    }
    double each = share(spec, machine.type());
    double taken = Math.min(tasks, left / each);
    left -= taken * each;
    return taken;
  }

  /** What part of a machine one task takes. */
  static double share(JobSpec spec, MachineType type) {
    double share = Math.max(spec.cpus() / type.cpus(), spec.memoryGb() / type.memoryGb());
    share =
        type.accelerators() > 0
            ? Math.max(share, spec.accelerators() / type.accelerators())
            : share;
    return Math.max(share, 1e-3);
  }
}
