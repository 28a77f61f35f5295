/** Tests of {@code org.eiderstair.core.state}. */
package org.eiderstair.core.state;
