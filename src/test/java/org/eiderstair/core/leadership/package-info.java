/** Tests of {@code org.eiderstair.core.leadership}. */
package org.eiderstair.core.leadership;
