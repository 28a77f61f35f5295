/**
 * Primary-backup replication of the leader's state to one follower, the standby. {@link
 * org.eiderstair.core.standby.Standby} is the entry point; docs/standby.md describes the protocol
 * and why it is safe.
 */
package org.eiderstair.core.standby;
