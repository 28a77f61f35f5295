/**
 * A seeded simulator of a whole deployment: controllers, state service, cloud, workers and users,
 * with injected faults. One simulation run is called a day. Each rule is checked at the events that
 * could violate it.
 */
package org.eiderstair.sim;
