/** Tests of {@code org.eiderstair.core.provisioning}. */
package org.eiderstair.core.provisioning;
