/**
 * Primary-backup replication of the leader's state to one follower, the standby. {@link
 * org.eiderstair.core.standby.Standby} is the type to enter by; docs/standby.md has the protocol
 * and the argument for its safety.
 */
package org.eiderstair.core.standby;
