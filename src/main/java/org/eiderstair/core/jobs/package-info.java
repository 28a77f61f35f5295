/** Users' requests about jobs, and the broadcast of cancellations to the leader. */
package org.eiderstair.core.jobs;
