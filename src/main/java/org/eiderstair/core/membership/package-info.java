/**
 * Which machines send heartbeats to any controller, and what the silence of a machine means. {@link
 * org.eiderstair.core.membership.Membership} is the type to enter by.
 */
package org.eiderstair.core.membership;
