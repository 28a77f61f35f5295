/** Tests of capacity and giving back. */
package org.eiderstair.core.provisioning;
