package org.eiderstair.core.model;

import java.util.List;

/** A kind of machine that the cloud rents out. Prices are per hour. */
public record MachineType(
    String name,
    double cpus,
    double accelerators,
    double memoryGb,
    double cacheGb,
    double fetchGbPerS,
    double price,
    double spotPrice,
    long bootMicros,
    List<String> zones) {

  /** Whether an otherwise empty machine of this type can hold one task of the job. */
  public boolean fits(JobSpec spec) {
    return spec.cpus() <= cpus
        && spec.accelerators() <= accelerators
        && spec.memoryGb() <= memoryGb;
  }
}
