/** Tests of the packages' dependencies. */
package org.eiderstair.architecture;
