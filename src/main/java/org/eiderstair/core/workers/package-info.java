/**
 * The machines of one term: heartbeats, commands, attempts and leases. {@link
 * org.eiderstair.core.workers.WorkerManager} is the type to enter by.
 */
package org.eiderstair.core.workers;
