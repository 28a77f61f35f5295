/**
 * ReplicationPrimary-backup replication of the leader's picture to one follower. {@link
 * org.eiderstair.core.standby.Standby} is the type to enter by.
 */
package org.eiderstair.core.standby;
