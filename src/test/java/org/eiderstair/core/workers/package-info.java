/** Tests of {@code org.eiderstair.core.workers}. */
package org.eiderstair.core.workers;
