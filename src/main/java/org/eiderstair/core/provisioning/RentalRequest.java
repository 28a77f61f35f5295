package org.eiderstair.core.provisioning;

/**
 * An idempotent request for machines.
 *
 * @param requestId names the request; the cloud answers a repetition with the same machines
 * @param option what is asked for
 * @param count how many machines are asked for
 */
public record RentalRequest(String requestId, RentalOption option, int count) {}
