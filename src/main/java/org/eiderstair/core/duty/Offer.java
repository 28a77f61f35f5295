package org.eiderstair.core.duty;

/** A kind of machine in one zone: what a rental names, and what the cloud refuses by. */
public record Offer(String type, String zone, boolean spot) {}
