package org.eiderstair.core.model;

/** What is left of a machine's resources beside all that may be on it; kept by increments. */
final class FreeResources {
  /** Sums of fractions of a processor differ from whole numbers by less than this. */
  private static final double ROUNDING = 1e-6;

  private double cpus;
  private double accelerators;
  private double memoryGb;

  /** Nothing is used; with no known type there is nothing at all. */
  void reset(MachineType type) {
    cpus = type == null ? 0 : type.cpus();
    accelerators = type == null ? 0 : type.accelerators();
    memoryGb = type == null ? 0 : type.memoryGb();
  }

  void reserve(JobSpec spec) {
    cpus -= spec.cpus();
    accelerators -= spec.accelerators();
    memoryGb -= spec.memoryGb();
  }

  void release(JobSpec spec) {
    cpus += spec.cpus();
    accelerators += spec.accelerators();
    memoryGb += spec.memoryGb();
  }

  boolean fits(JobSpec spec) {
    return spec.cpus() <= cpus + ROUNDING
        && spec.accelerators() <= accelerators + ROUNDING
        && spec.memoryGb() <= memoryGb + ROUNDING;
  }

  /** Whether anything at all fits. */
  boolean isAny() {
    return cpus > ROUNDING && memoryGb > ROUNDING;
  }

  /** Free processors; may be negative where a machine holds more than its type allows. */
  double cpus() {
    return cpus;
  }
}
