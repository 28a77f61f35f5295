/**
 * A seeded simulator of whole days: controllers, state service, cloud, workers and users, with
 * faults. Every rule is checked where it would be broken.
 */
package org.eiderstair.sim;
