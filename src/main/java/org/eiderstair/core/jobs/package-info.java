/**
 * Serves users' requests to submit, query and cancel jobs, and forwards cancellations to the
 * leader. Submission is idempotent. Answers are confirmed by the state service, except final
 * states, which never change. The entry point is {@link org.eiderstair.core.jobs.JobService}.
 */
package org.eiderstair.core.jobs;
