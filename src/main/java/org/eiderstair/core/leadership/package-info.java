/**
 * Leader election with a leased key in the state service, the renewal of the lease, and the bounds
 * until which a leader may launch tasks and answer workers. {@link
 * org.eiderstair.core.leadership.Leadership} is the entry point.
 */
package org.eiderstair.core.leadership;
