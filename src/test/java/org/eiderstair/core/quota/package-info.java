/** Tests of {@code org.eiderstair.core.quota}. */
package org.eiderstair.core.quota;
