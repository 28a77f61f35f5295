/**
 * The machines of one term: heartbeats, commands, attempts and leases. {@link
 * org.eiderstair.core.workers.WorkerManager} is the type to enter by.
 *
 * <p>Two bounds keep a task from running twice. A launch is fenced by the {@link
 * org.eiderstair.core.model.FencingToken} of its command; and an attempt is freed only when a
 * heartbeat, the end of its machine's lease or the machine's termination proves that it is not
 * there.
 */
package org.eiderstair.core.workers;
