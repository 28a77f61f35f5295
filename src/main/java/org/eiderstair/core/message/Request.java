package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.record.StoredValue;

/** What the core asks of the world. Each gets exactly one {@link Reply}. */
public sealed interface Request {

  /** A key and the version that it must have. */
  record Condition(String key, long version) {
    /** In place of a version: the key must not exist. */
    public static final long ABSENT = 0;
  }

  /** Puts a value, or drops the key when the value is null. Lease 0 means none. */
  record Write(String key, StoredValue value, long lease) {}

  /** A transaction: all writes if all conditions hold, else none. */
  record StoreTxn(List<Condition> conditions, List<Write> writes) implements Request {}

  /** Reads one key. */
  record StoreGet(String key) implements Request {}

  /** Reads keys with a prefix, in their order, after a key. */
  record StoreList(String prefix, String after, int limit) implements Request {}

  /** Waits for changes of keys with a prefix after a revision. */
  record StoreWatch(String prefix, long after, long holdMicros) implements Request {}

  /** Asks for a lease. */
  record LeaseGrant(long ttlMicros) implements Request {}

  /** Renews a lease. */
  record LeaseRenew(long lease) implements Request {}

  /** Ends a lease, and removes the keys attached to it. */
  record LeaseRevoke(long lease) implements Request {}

  /** Asks for the types of machines that can be rented. */
  record CloudCatalog() implements Request {}

  /** Rents machines; a repeated request name rents nothing twice. */
  record CloudRent(String request, String type, String zone, boolean spot, int count)
      implements Request {}

  /** Deletes machines. */
  record CloudDelete(List<String> machines) implements Request {}

  /** Lists machines after a name. */
  record CloudList(String after) implements Request {}

  /** Asks a machine for its report. */
  record WorkerStatus(String address) implements Request {}

  /** Commands for a machine, executed if token and session match. */
  record WorkerCommands(
      String address, FencingToken fencingToken, long incarnation, List<Order> orders)
      implements Request {}

  /** Asks a peer whether the state service serves it. */
  record PeerStateServiceStatus(String peer) implements Request {}

  /**
   * Asks a peer which machines it hears, as changes after what one of its runs has told already.
   */
  record PeerMembership(String peer, String run, long after) implements Request {}

  /** Tells a peer what changed in the leader's picture. */
  record PeerReplicate(String peer, ReplicationBatch batch) implements Request {}

  /** Tells a peer of cancellations that this node has committed. */
  record PeerCancellations(String peer, List<Cancellation> cancellations) implements Request {}

  /** A worker's report, passed to the leader by a node that the worker can reach. */
  record PeerRelay(String peer, Heartbeat report) implements Request {}
}
