/**
 * Durable state: the replica of the state service that every node keeps, the writes of a leader,
 * and whether the state service can be reached.
 */
package org.eiderstair.core.state;
