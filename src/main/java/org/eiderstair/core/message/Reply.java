package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.record.StoredValue;

/**
 * The outcome of a {@link Request}. Any request may also be {@link Refused}, or end with {@link
 * NoResponse}.
 */
public sealed interface Reply {

  /** A key's value and version; a null value in a change means that the key was deleted. */
  record Item(String key, StoredValue value, long version) {}

  /** Done; the revision after it, where the state service gave one. */
  record Applied(long revision) implements Reply {}

  /** Conditions of a transaction did not hold; the list of them need not be complete. */
  record Conflict(List<String> failed, long revision) implements Reply {}

  /** A key that exists. */
  record Found(Item item) implements Reply {}

  /** A key that does not exist as of that revision. */
  record Absent(long revision) implements Reply {}

  /** Some keys in their order, and whether there are more. */
  record Listed(List<Item> items, boolean more, long revision) implements Reply {}

  /** Changes after a revision, up to this one. */
  record Changed(List<Item> changes, long revision) implements Reply {}

  /** A new lease. */
  record LeaseGranted(long lease) implements Reply {}

  /** The types of machines that can be rented. */
  record Catalog(List<MachineType> types) implements Reply {}

  /** The names of the machines that were rented. */
  record Rented(List<String> machines) implements Reply {}

  /** A machine as the cloud lists it. */
  record CloudMachine(
      String id,
      String address,
      String type,
      String zone,
      boolean spot,
      String state,
      long ageMicros) {}

  /** Some machines as the cloud lists them, and whether there are more. */
  record CloudMachines(List<CloudMachine> machines, boolean more) implements Reply {}

  /** A worker's status, and whether it executed the commands that it answers. */
  record WorkerStatus(Heartbeat heartbeat, boolean executed) implements Reply {}

  /** Whether the state service serves a peer, and which leader it follows (null: none known). */
  record PeerStateServiceStatus(boolean served, String leader, long term) implements Reply {}

  /** Which machines reach a peer directly. */
  record PeerMembership(HeartbeatDigest digest) implements Reply {}

  /** How far a peer has the leader's state. */
  record ReplicationAck(ReplicationBatch.Ack ack) implements Reply {}

  /** The leader's answer to a heartbeat that was relayed. */
  record Relayed(Answer answer) implements Reply {}

  /** Answered, and certainly not executed; the HTTP status says why. */
  record Refused(int status) implements Reply {
    private static final int NOT_FOUND = 404;
    private static final int COMPACTED = 410;
    private static final int UNAVAILABLE = 503;

    /** What the request is about does not exist, or the peer does not know such requests. */
    public boolean isNotFound() {
      return status == NOT_FOUND;
    }

    /** The state service does not hold changes as old as the ones asked for any more. */
    public boolean isCompacted() {
      return status == COMPACTED;
    }

    /** The other side does not serve requests now. */
    public boolean isUnavailable() {
      return status == UNAVAILABLE;
    }
  }

  /** No usable answer: it may have been executed, or may still be. */
  record NoResponse(String why) implements Reply {}
}
