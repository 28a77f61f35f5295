/**
 * What only the leader may do towards the cloud: capacity machines and giving them back, each
 * durable before it is asked for. {@link org.eiderstair.core.provisioning.ProvisioningController}
 * is the type to enter by.
 */
package org.eiderstair.core.provisioning;
