/** How many machines are needed, which are rented and which are released. */
package org.eiderstair.core.capacity;
