/** Tests of {@code org.eiderstair.core.membership}. */
package org.eiderstair.core.membership;
