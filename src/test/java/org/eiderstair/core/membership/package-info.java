/** Tests of which machines are taken for silent. */
package org.eiderstair.core.membership;
