/**
 * A running controller: the thread that owns the core, and the wiring of its sockets and timers.
 */
package org.eiderstair.node;
