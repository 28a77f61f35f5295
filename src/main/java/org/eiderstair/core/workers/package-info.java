/**
 * Manages the machines of one leader term: heartbeats, commands, attempts and leases. {@link
 * org.eiderstair.core.workers.WorkerManager} is the entry point.
 *
 * <p>Two rules keep a task from running twice. The {@link org.eiderstair.core.model.FencingToken}
 * of its command fences a launch. An attempt is freed only when a heartbeat, the expiry of its
 * machine's lease or the machine's termination proves that it is gone.
 */
package org.eiderstair.core.workers;
