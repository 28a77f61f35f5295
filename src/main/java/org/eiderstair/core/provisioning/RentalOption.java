package org.eiderstair.core.provisioning;

/**
 * What a rental asks for: a machine type in one zone, spot or on-demand. The cloud grants and
 * refuses by it.
 *
 * @param type the name of the machine type
 * @param zone the zone the machine runs in
 * @param spot whether the cloud may preempt the machine
 */
public record RentalOption(String type, String zone, boolean spot) {}
