package org.eiderstair.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.HeartbeatDigest;

/**
 * Tracks which machines send heartbeats to this node directly, as numbered changes. A peer that
 * knows the changes up to a number gets only the later ones. A machine that keeps sending
 * heartbeats here causes no change, so the peers are not told of it again.
 */
final class HeartbeatTracker {
  /**
   * The number of silent machines that are kept, so that their silence can be reported. The oldest
   * are dropped first; a peer that may lack a dropped change gets a full digest. Reachable machines
   * are never dropped, since their later silence could then not be reported.
   */
  static final int MAX_SILENT_MACHINES = 8_192;

  private enum State {
    /** The machine sends heartbeats to this node. */
    REACHABLE,
    /** The machine sent heartbeats to this node, and now sends them elsewhere or not at all. */
    SILENT
  }

  private static final class TrackedMachine {
    final String id;
    State state;
    long sinceMicros;
    long lastHeartbeatMicros;
    long sequence;

    TrackedMachine(String id) {
      this.id = id;
    }
  }

  private final long timeoutMicros;

  /** All machines by name, in the order of their last change. */
  private final Map<String, TrackedMachine> byLastChange = new LinkedHashMap<>();

  /** The reachable machines, the one with the oldest heartbeat first. */
  private final Map<String, TrackedMachine> reachable = new LinkedHashMap<>();

  /** The silent machines, in the order in which they became silent. */
  private final Map<String, TrackedMachine> silent = new LinkedHashMap<>();

  private long lastSequence;

  /** Changes up to this sequence number may have been dropped. */
  private long droppedSequence;

  /**
   * @param timeoutMicros a machine without a heartbeat for longer than this is silent
   */
  HeartbeatTracker(long timeoutMicros) {
    this.timeoutMicros = timeoutMicros;
  }

  void heartbeatReceived(String id, long nowMicros) {
    TrackedMachine machine = reachable.remove(id);
    if (machine == null) {
      machine = byLastChange.computeIfAbsent(id, TrackedMachine::new);
      machine.sinceMicros = nowMicros;
      transitionTo(machine, State.REACHABLE);
    }
    machine.lastHeartbeatMicros = nowMicros;
    reachable.put(id, machine);
  }

  /** Performs every change of state; each change gets the next sequence number. */
  private void transitionTo(TrackedMachine machine, State next) {
    byLastChange.remove(machine.id);
    machine.state = next;
    machine.sequence = ++lastSequence;
    byLastChange.put(machine.id, machine);
    silent.remove(machine.id);
    if (next == State.SILENT) {
      silent.put(machine.id, machine);
      dropOldestSilent();
    }
  }

  private void dropOldestSilent() {
    if (silent.size() > MAX_SILENT_MACHINES) {
      Iterator<TrackedMachine> machines = silent.values().iterator();
      TrackedMachine oldest = machines.next();
      machines.remove();
      byLastChange.remove(oldest.id);
      droppedSequence = oldest.sequence;
    }
  }

  private void expire(long nowMicros) {
    while (!reachable.isEmpty()) {
      TrackedMachine oldest = reachable.values().iterator().next();
      if (nowMicros <= oldest.lastHeartbeatMicros + timeoutMicros) {
        return;
      }
      reachable.remove(oldest.id);
      oldest.sinceMicros = oldest.lastHeartbeatMicros;
      transitionTo(oldest, State.SILENT);
    }
  }

  /**
   * Returns the changes after a sequence number. The digest is full, with all reachable machines,
   * when the changes after that number are no longer complete or the number is unknown.
   *
   * @param runId this node's run, which the digest names
   * @param sequence the number up to which the peer knows the changes; negative when it knows none
   * @param maxChanges the maximum number of changes in the digest; the next digest has the rest
   */
  HeartbeatDigest digestAfter(String runId, long sequence, int maxChanges, long nowMicros) {
    expire(nowMicros);
    boolean full = sequence < droppedSequence || sequence > lastSequence;
    long reported = full ? 0 : sequence;
    List<HeartbeatDigest.Change> changes = new ArrayList<>();
    for (TrackedMachine machine : byLastChange.values()) {
      if (machine.sequence <= reported || (full && machine.state == State.SILENT)) {
        continue;
      }
      if (changes.size() == maxChanges) {
        return new HeartbeatDigest(runId, full, reported, true, changes);
      }
      changes.add(change(machine, nowMicros));
      reported = machine.sequence;
    }
    return new HeartbeatDigest(runId, full, lastSequence, false, changes);
  }

  private static HeartbeatDigest.Change change(TrackedMachine machine, long nowMicros) {
    return new HeartbeatDigest.Change(
        machine.id, machine.state == State.REACHABLE, Math.max(0, nowMicros - machine.sinceMicros));
  }
}
