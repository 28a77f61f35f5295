package org.eiderstair.core.model;

import java.util.List;

/**
 * A machine type in the platform's catalog.
 *
 * @param name the platform's name of the type
 * @param cpus the number of processors, possibly fractional
 * @param accelerators the number of accelerators, such as GPUs
 * @param memoryGb the memory in gigabytes
 * @param cacheGb the size of the image cache in gigabytes
 * @param fetchGbPerSecond the rate at which images are fetched, in gigabytes per second
 * @param pricePerHour the hourly price of an on-demand machine
 * @param spotPricePerHour the hourly price of a spot machine
 * @param bootMicros the time from the request to the first heartbeat
 * @param zones the zones in which the type is offered
 */
public record MachineType(
    String name,
    double cpus,
    double accelerators,
    double memoryGb,
    double cacheGb,
    double fetchGbPerSecond,
    double pricePerHour,
    double spotPricePerHour,
    long bootMicros,
    List<String> zones) {

  /** Returns whether an empty machine of this type can hold one task of the job. */
  public boolean fits(JobSpec spec) {
    return spec.cpus() <= cpus
        && spec.accelerators() <= accelerators
        && spec.memoryGb() <= memoryGb;
  }
}
