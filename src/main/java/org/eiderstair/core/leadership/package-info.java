/**
 * Leader election by a leased key in the state service, the renewal of the lease, and until when a
 * leader may launch tasks and answer workers. {@link org.eiderstair.core.leadership.Leadership} is
 * the type to enter by.
 */
package org.eiderstair.core.leadership;
