/**
 * Rental and release of cloud machines by the leader, each made durable before the cloud is asked.
 * {@link org.eiderstair.core.provisioning.ProvisioningController} is the type to enter by, {@link
 * org.eiderstair.core.provisioning.ProvisioningHost} what it needs of the leader.
 */
package org.eiderstair.core.provisioning;
