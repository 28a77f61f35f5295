/**
 * Durable state: the replica of the state service on every node, the writes of a leader, and the
 * health of the state service as this node sees it.
 */
package org.eiderstair.core.state;
