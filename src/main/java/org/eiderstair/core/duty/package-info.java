/**
 * What only the leader may do towards the cloud: renting machines and giving them back, each
 * durable before it is asked for. {@link org.eiderstair.core.duty.Duties} is the type to enter by.
 */
package org.eiderstair.core.duty;
