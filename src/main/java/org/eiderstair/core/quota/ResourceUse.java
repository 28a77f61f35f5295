package org.eiderstair.core.quota;

import org.eiderstair.core.model.JobSpec;

/** Processors and accelerators in use, kept by increments. */
final class ResourceUse {
  private double cpus;
  private double accelerators;

  double cpus() {
    return cpus;
  }

  double accelerators() {
    return accelerators;
  }

  /** Adds what so many tasks use; a negative number of tasks subtracts it. */
  void add(JobSpec spec, int tasks) {
    cpus += spec.cpus() * tasks;
    accelerators += spec.accelerators() * tasks;
  }

  void capTo(double maxCpus, double maxAccelerators) {
    cpus = Math.min(cpus, maxCpus);
    accelerators = Math.min(accelerators, maxAccelerators);
  }

  void clear() {
    cpus = 0;
    accelerators = 0;
  }
}
