/**
 * Decides how many machines are needed, which machines are rented and which are released. The entry
 * points are {@link org.eiderstair.core.capacity.CapacityManager} and {@link
 * org.eiderstair.core.capacity.Demand}.
 */
package org.eiderstair.core.capacity;
