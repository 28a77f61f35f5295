package org.eiderstair.core.provisioning;

/** A kind of machine in one zone: what a rental names, and what the cloud refuses by. */
public record RentalOption(String type, String zone, boolean spot) {}
