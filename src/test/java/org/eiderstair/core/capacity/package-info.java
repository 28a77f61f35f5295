/** Tests of {@code org.eiderstair.core.capacity}. */
package org.eiderstair.core.capacity;
