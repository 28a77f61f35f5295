/** Tests of {@code org.eiderstair.core.placement}. */
package org.eiderstair.core.placement;
