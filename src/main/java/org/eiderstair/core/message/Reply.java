package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.record.StoredValue;

/**
 * The outcome of a {@link Request}. Any request may also end with {@link Refused} or {@link
 * NoResponse}.
 */
public sealed interface Reply {

  /** The value and version of a key. In a change, a null value means that the key was deleted. */
  record Item(String key, StoredValue value, long version) {}

  /** The request was executed; carries the revision afterwards, if the state service gave one. */
  record Applied(long revision) implements Reply {}

  /**
   * Conditions of a transaction did not hold.
   *
   * @param failedKeys keys whose condition did not hold; the list may be incomplete
   * @param revision the revision that the state service reported; 0 if none
   */
  record Conflict(List<String> failedKeys, long revision) implements Reply {}

  /** The requested key exists. */
  record Found(Item item) implements Reply {}

  /** The requested key does not exist at the revision. */
  record Absent(long revision) implements Reply {}

  /** A page of keys in order, and whether more keys follow. */
  record Listed(List<Item> items, boolean more, long revision) implements Reply {}

  /** Changes after the requested revision, up to and including {@code revision}. */
  record Changed(List<Item> changes, long revision) implements Reply {}

  /** A new lease was granted. */
  record LeaseGranted(long leaseId) implements Reply {}

  /** The types of machines that can be rented. */
  record Catalog(List<MachineType> types) implements Reply {}

  /** The names of the machines that were rented. */
  record Rented(List<String> machines) implements Reply {}

  /** A machine in the cloud's list. */
  record CloudMachine(
      String id,
      String address,
      String type,
      String zone,
      boolean spot,
      String state,
      long ageMicros) {}

  /** A page of the cloud's list of machines, and whether more machines follow. */
  record CloudMachines(List<CloudMachine> machines, boolean more) implements Reply {}

  /** A worker's status, and whether the worker executed the commands in the request. */
  record WorkerStatus(Heartbeat heartbeat, boolean executed) implements Reply {}

  /** Whether the state service serves a peer, and the peer's leader; null if none is known. */
  record PeerStateServiceStatus(boolean served, String leader, long term) implements Reply {}

  /** The machines that send heartbeats to a peer directly. */
  record PeerMembership(HeartbeatDigest digest) implements Reply {}

  /** The extent to which a peer holds the leader's state. */
  record ReplicationAck(ReplicationBatch.Ack ack) implements Reply {}

  /** The leader's answer to a relayed heartbeat. */
  record Relayed(Answer answer) implements Reply {}

  /** The request was certainly not executed; the HTTP status gives the reason. */
  record Refused(int status) implements Reply {
    private static final int NOT_FOUND = 404;
    private static final int COMPACTED = 410;
    private static final int UNAVAILABLE = 503;

    /** Returns whether the target does not exist or the peer does not support the request. */
    public boolean isNotFound() {
      return status == NOT_FOUND;
    }

    /** Returns whether the state service has dropped the requested changes as too old. */
    public boolean isCompacted() {
      return status == COMPACTED;
    }

    /** Returns whether the server does not accept requests now. */
    public boolean isUnavailable() {
      return status == UNAVAILABLE;
    }
  }

  /** There was no usable answer. The request may have been executed or may still be executed. */
  record NoResponse(String reason) implements Reply {}
}
