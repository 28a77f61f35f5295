/** Tests of the dependencies between packages. */
package org.eiderstair.architecture;
