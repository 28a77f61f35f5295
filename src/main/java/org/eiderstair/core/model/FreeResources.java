package org.eiderstair.core.model;

/**
 * The resources of a machine that are not reserved for attempts. The amounts are updated
 * incrementally.
 */
final class FreeResources {
  /** Rounding errors in sums of fractional resource amounts are smaller than this. */
  private static final double ROUNDING_TOLERANCE = 1e-6;

  private double cpus;
  private double accelerators;
  private double memoryGb;

  /** Sets the free resources to those of an empty machine; zero if the type is null. */
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
    return spec.cpus() <= cpus + ROUNDING_TOLERANCE
        && spec.accelerators() <= accelerators + ROUNDING_TOLERANCE
        && spec.memoryGb() <= memoryGb + ROUNDING_TOLERANCE;
  }

  /** Returns whether processors and memory are both available. */
  boolean hasAny() {
    return cpus > ROUNDING_TOLERANCE && memoryGb > ROUNDING_TOLERANCE;
  }

  /** Returns the free processors; negative if the machine holds more than its type allows. */
  double cpus() {
    return cpus;
  }
}
