/** Where tasks go, and in which order they are served. */
package org.eiderstair.core.placement;
