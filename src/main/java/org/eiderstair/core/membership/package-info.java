/**
 * Tracks which machines send heartbeats to any controller, and classifies silent machines. {@link
 * org.eiderstair.core.membership.Membership} is the entry point.
 */
package org.eiderstair.core.membership;
