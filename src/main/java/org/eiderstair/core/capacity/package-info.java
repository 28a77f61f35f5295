/**
 * How many machines are needed, which are rented and which are released. {@link
 * org.eiderstair.core.capacity.CapacityManager} and {@link org.eiderstair.core.capacity.Demand} are
 * the types to enter by.
 */
package org.eiderstair.core.capacity;
