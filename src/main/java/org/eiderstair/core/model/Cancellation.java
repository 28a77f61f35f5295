package org.eiderstair.core.model;

/**
 * A cancellation that is committed in the state service.
 *
 * @param job the id of the cancelled job
 * @param version the version of the job's key after the cancellation
 * @param done the number of tasks that were durably completed
 */
public record Cancellation(String job, long version, int done) {}
