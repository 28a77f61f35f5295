/** Tests of renting and giving back. */
package org.eiderstair.core.duty;
