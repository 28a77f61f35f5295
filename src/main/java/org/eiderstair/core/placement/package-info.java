/**
 * Decides on which machine each task runs, and in which order jobs are served. The entry point is
 * {@link org.eiderstair.core.placement.Placement}.
 */
package org.eiderstair.core.placement;
