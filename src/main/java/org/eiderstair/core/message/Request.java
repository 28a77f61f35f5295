package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.record.StoredValue;

/**
 * A request of the core to the state service, the cloud, a worker or a peer. Each request gets
 * exactly one {@link Reply}.
 */
public sealed interface Request {

  /** A key and its required version. */
  record Condition(String key, long version) {
    /** The version that requires the key not to exist. */
    public static final long ABSENT = 0;

    /** Returns the condition that the key does not exist. */
    public static Condition absent(String key) {
      return new Condition(key, ABSENT);
    }
  }

  /** Puts a value, or deletes the key if the value is null. Lease id 0 means no lease. */
  record Write(String key, StoredValue value, long leaseId) {
    private static final long NO_LEASE = 0;

    /** Returns a write of a value without a lease, which stays until deleted. */
    public static Write put(String key, StoredValue value) {
      return new Write(key, value, NO_LEASE);
    }

    /** Returns a write that deletes the key. */
    public static Write delete(String key) {
      return new Write(key, null, NO_LEASE);
    }
  }

  /**
   * Compares and swaps several keys: applies all writes if all conditions hold, else none. Replies:
   * {@link Reply.Applied}, {@link Reply.Conflict}.
   */
  record StoreTransaction(List<Condition> conditions, List<Write> writes) implements Request {}

  /** Reads one key. Replies: {@link Reply.Found}, {@link Reply.Absent}. */
  record StoreGet(String key) implements Request {}

  /**
   * Reads a page of the keys with a prefix, in order. Reply: {@link Reply.Listed}.
   *
   * @param afterKey the last key of the previous page; null for the first page
   * @param limit the maximum number of keys
   */
  record StoreList(String prefix, String afterKey, int limit) implements Request {}

  /**
   * Waits for changes of keys with a prefix. Reply: {@link Reply.Changed}.
   *
   * @param afterRevision the revision after which changes are returned
   * @param maxWaitMicros the maximum time to wait for a change
   */
  record StoreWatch(String prefix, long afterRevision, long maxWaitMicros) implements Request {}

  /** Requests a new lease. Reply: {@link Reply.LeaseGranted}. */
  record LeaseGrant(long ttlMicros) implements Request {}

  /** Renews a lease. Reply: {@link Reply.Applied}. */
  record LeaseRenew(long leaseId) implements Request {}

  /** Ends a lease and deletes the keys attached to the lease. Reply: {@link Reply.Applied}. */
  record LeaseRevoke(long leaseId) implements Request {}

  /** Requests the machine types that can be rented. Reply: {@link Reply.Catalog}. */
  record CloudCatalog() implements Request {}

  /** Rents machines; {@code requestName} makes it idempotent. Reply: {@link Reply.Rented}. */
  record CloudRent(String requestName, String type, String zone, boolean spot, int count)
      implements Request {}

  /** Deletes machines. Reply: {@link Reply.Applied}. */
  record CloudDelete(List<String> machines) implements Request {}

  /**
   * Lists a page of the machines. Reply: {@link Reply.CloudMachines}.
   *
   * @param afterMachine the last machine of the previous page; null for the first page
   */
  record CloudList(String afterMachine) implements Request {}

  /** Asks a worker for its status. Reply: {@link Reply.WorkerStatus}. */
  record WorkerStatus(String address) implements Request {}

  /**
   * Sends commands to a worker, which executes them if the fencing token and the incarnation match.
   * Reply: {@link Reply.WorkerStatus}.
   */
  record WorkerCommands(
      String address, FencingToken fencingToken, long incarnation, List<Order> orders)
      implements Request {}

  /**
   * Asks a peer whether the state service serves it. Reply: {@link Reply.PeerStateServiceStatus}.
   */
  record PeerStateServiceStatus(String peer) implements Request {}

  /**
   * Asks a peer which machines reach it. Reply: {@link Reply.PeerMembership}.
   *
   * @param runId the run of the peer to which the sequence number belongs
   * @param afterSequence the sequence number after which changes are needed
   */
  record PeerMembership(String peer, String runId, long afterSequence) implements Request {}

  /** Replicates changes of the leader's state to a peer. Reply: {@link Reply.ReplicationAck}. */
  record PeerReplicate(String peer, ReplicationBatch batch) implements Request {}

  /** Sends a peer cancellations that this node has committed. Reply: {@link Reply.Applied}. */
  record PeerCancellations(String peer, List<Cancellation> cancellations) implements Request {}

  /** Relays a worker's heartbeat to the leader. Reply: {@link Reply.Relayed}. */
  record PeerRelayHeartbeat(String peer, Heartbeat heartbeat) implements Request {}
}
