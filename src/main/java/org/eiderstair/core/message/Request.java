package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.record.StoredValue;

/**
 * What the core asks of the state service, the cloud, workers and peers. Each request gets exactly
 * one {@link Reply}.
 */
public sealed interface Request {

  /** A key and the version that it must have. */
  record Condition(String key, long version) {
    /** In place of a version: the key must not exist. */
    public static final long ABSENT = 0;

    /** The key must not exist. */
    public static Condition absent(String key) {
      return new Condition(key, ABSENT);
    }
  }

  /** Puts a value, or deletes the key when the value is null. Lease 0 means none. */
  record Write(String key, StoredValue value, long lease) {
    private static final long NO_LEASE = 0;

    /** Puts a value that stays until it is deleted. */
    public static Write put(String key, StoredValue value) {
      return new Write(key, value, NO_LEASE);
    }

    /** Deletes the key. */
    public static Write delete(String key) {
      return new Write(key, null, NO_LEASE);
    }
  }

  /**
   * A compare-and-swap of several keys: all writes if all conditions hold, else none. Replies:
   * {@link Reply.Applied}, {@link Reply.Conflict}.
   */
  record StoreTransaction(List<Condition> conditions, List<Write> writes) implements Request {}

  /** Reads one key. Replies: {@link Reply.Found}, {@link Reply.Absent}. */
  record StoreGet(String key) implements Request {}

  /** Reads a page of the keys with a prefix, in their order. Reply: {@link Reply.Listed}. */
  record StoreList(String prefix, String after, int limit) implements Request {}

  /**
   * Waits for changes of keys with a prefix after a revision, at most for a time. Reply: {@link
   * Reply.Changed}.
   */
  record StoreWatch(String prefix, long after, long holdMicros) implements Request {}

  /** Asks for a lease. Reply: {@link Reply.LeaseGranted}. */
  record LeaseGrant(long ttlMicros) implements Request {}

  /** Renews a lease. Reply: {@link Reply.Applied}. */
  record LeaseRenew(long lease) implements Request {}

  /** Ends a lease, and deletes the keys attached to it. Reply: {@link Reply.Applied}. */
  record LeaseRevoke(long lease) implements Request {}

  /** Asks for the types of machines that can be rented. Reply: {@link Reply.Catalog}. */
  record CloudCatalog() implements Request {}

  /** Rents machines; the request's name makes it idempotent. Reply: {@link Reply.Rented}. */
  record CloudRent(String request, String type, String zone, boolean spot, int count)
      implements Request {}

  /** Deletes machines. Reply: {@link Reply.Applied}. */
  record CloudDelete(List<String> machines) implements Request {}

  /** Lists a page of the machines after a name. Reply: {@link Reply.CloudMachines}. */
  record CloudList(String after) implements Request {}

  /** Asks a worker for its status. Reply: {@link Reply.WorkerStatus}. */
  record WorkerStatus(String address) implements Request {}

  /**
   * Commands for a worker, executed if the fencing token and the incarnation match. Reply: {@link
   * Reply.WorkerStatus}.
   */
  record WorkerCommands(
      String address, FencingToken fencingToken, long incarnation, List<Order> orders)
      implements Request {}

  /**
   * Asks a peer whether the state service serves it. Reply: {@link Reply.PeerStateServiceStatus}.
   */
  record PeerStateServiceStatus(String peer) implements Request {}

  /**
   * Asks a peer which machines reach it, as changes after a sequence number of one of its runs.
   * Reply: {@link Reply.PeerMembership}.
   */
  record PeerMembership(String peer, String run, long after) implements Request {}

  /** Replicates changes of the leader's state to a peer. Reply: {@link Reply.ReplicationAck}. */
  record PeerReplicate(String peer, ReplicationBatch batch) implements Request {}

  /** Sends a peer cancellations that this node has committed. Reply: {@link Reply.Applied}. */
  record PeerCancellations(String peer, List<Cancellation> cancellations) implements Request {}

  /** Relays a worker's heartbeat to the leader. Reply: {@link Reply.Relayed}. */
  record PeerRelayHeartbeat(String peer, Heartbeat heartbeat) implements Request {}
}
