/**
 * Rents and releases cloud machines on behalf of the leader. Each rental and release is durable
 * before the cloud is called. The entry point is {@link
 * org.eiderstair.core.provisioning.ProvisioningController}, and {@link
 * org.eiderstair.core.provisioning.ProvisioningHost} is the interface that the leader implements.
 */
package org.eiderstair.core.provisioning;
