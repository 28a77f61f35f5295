package org.eiderstair.core.provisioning;

/**
 * An idempotent request for machines.
 *
 * @param requestId identifies the request; the cloud answers a repetition with the same machines
 * @param option the type, zone and purchase mode of the machines
 * @param count the number of machines requested
 */
public record RentalRequest(String requestId, RentalOption option, int count) {}
