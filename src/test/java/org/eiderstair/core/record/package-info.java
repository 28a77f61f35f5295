/** Tests of {@code org.eiderstair.core.record}. */
package org.eiderstair.core.record;
