package org.eiderstair.core.model;

/**
 * A cancellation that the state service has.
 *
 * @param version of the job's key since then
 * @param done how many of its tasks were durably done
 */
public record Cancellation(String job, long version, int done) {}
