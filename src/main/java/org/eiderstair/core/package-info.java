/**
 * Every decision of a controller, as a state machine without input, output, clock or thread: events
 * and the time go in, effects come out. {@link org.eiderstair.core.Core} is the type to enter by.
 */
package org.eiderstair.core;
