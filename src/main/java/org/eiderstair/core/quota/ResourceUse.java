package org.eiderstair.core.quota;

import org.eiderstair.core.model.JobSpec;

/** Counts processors and accelerators in use; updated incrementally. */
final class ResourceUse {
  private double cpus;
  private double accelerators;

  double cpus() {
    return cpus;
  }

  double accelerators() {
    return accelerators;
  }

  /** Adds the resources of the given number of tasks; a negative number subtracts them. */
  void add(JobSpec spec, int tasks) {
    cpus += spec.cpus() * tasks;
    accelerators += spec.accelerators() * tasks;
  }

  /** Reduces each resource to the given maximum. */
  void capTo(double maxCpus, double maxAccelerators) {
    cpus = Math.min(cpus, maxCpus);
    accelerators = Math.min(accelerators, maxAccelerators);
  }

  void clear() {
    cpus = 0;
    accelerators = 0;
  }
}
