/**
 * Users' requests about jobs: idempotent submission, status and cancellation, each confirmed by the
 * state service; and the broadcast of cancellations to the leader. {@link
 * org.eiderstair.core.jobs.JobService} is the type to enter by.
 */
package org.eiderstair.core.jobs;
