/** Tests of {@code org.eiderstair.core.standby}. */
package org.eiderstair.core.standby;
