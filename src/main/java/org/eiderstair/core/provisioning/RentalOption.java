package org.eiderstair.core.provisioning;

/**
 * A machine type in one zone, either spot or on-demand. The cloud grants or refuses machines per
 * rental option.
 *
 * @param type the name of the machine type
 * @param zone the zone of the machines
 * @param spot whether the cloud may preempt the machines
 */
public record RentalOption(String type, String zone, boolean spot) {}
