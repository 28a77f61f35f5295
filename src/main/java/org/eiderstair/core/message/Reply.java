package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.record.StoredValue;

/** What came of a {@link Request}. */
public sealed interface Reply {

  /** A key's value as of a revision. */
  record Item(String key, StoredValue value, long version) {}

  /** Done; the revision after it where the state service gave one. */
  record Applied(long revision) implements Reply {}

  /** A transaction's conditions did not hold. */
  record Conflict(List<String> failed, long revision) implements Reply {}

  /** One key; null when it does not exist as of that revision. */
  record Found(Item item, long revision) implements Reply {}

  /** Some keys in their order, and whether there are more. */
  record Listed(List<Item> items, boolean more, long revision) implements Reply {}

  /** Changes after a revision; an item without a value was dropped. */
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

  /** A machine's report, and whether it executed the command that asked for it. */
  record Report(Heartbeat report, boolean executed) implements Reply {}

  /** A peer's word on whether the state service serves it, and whom it follows. */
  record PeerStateServiceStatus(boolean served, String leader, long term) implements Reply {}

  /** Which machines a peer hears by itself. */
  record PeerMembership(HeartbeatDigest digest) implements Reply {}

  /** What a peer says to changes of the leader's picture. */
  record ReplicationAck(ReplicationBatch.Ack ack) implements Reply {}

  /** The leader's answer to a report that was passed on. */
  record Relayed(Answer answer) implements Reply {}

  /** Answered, and certainly not executed: the status says why (404, 410, 429, 503 ...). */
  record Refused(int status) implements Reply {}

  /** No usable answer: it may have been executed, or may still be. */
  record NoResponse(String why) implements Reply {}
}
