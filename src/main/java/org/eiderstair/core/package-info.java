/**
 * The decision logic of a controller, as a state machine without I/O, clock or threads. Events and
 * the current time go in, and effects come out. {@link org.eiderstair.core.Core} is the entry
 * point.
 */
package org.eiderstair.core;
