package org.eiderstair.core.model;

import java.util.List;

/**
 * A machine type in the platform's catalogue.
 *
 * @param name its name at the platform
 * @param cpus processors, also fractions of one
 * @param accelerators accelerators, such as graphics processors
 * @param memoryGb memory in gigabytes
 * @param cacheGb the size of its image cache
 * @param fetchGbPerS how fast it fetches images
 * @param price on demand, per hour
 * @param spotPrice as a spot instance, per hour
 * @param bootMicros from the request to the first heartbeat
 * @param zones where it is offered
 */
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
