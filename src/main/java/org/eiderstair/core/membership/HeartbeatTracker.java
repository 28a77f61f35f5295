package org.eiderstair.core.membership;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.HeartbeatDigest;

/**
 * Which machines send heartbeats to this node directly, as numbered changes: a peer that knows them
 * up to a number gets what changed since. A machine that goes on reporting here is no change and
 * costs nothing to report.
 */
final class HeartbeatTracker {
  /**
   * So many machines that are silent are remembered, to report their silence; the oldest are
   * dropped first, and a peer that knew less gets all changes. Those that are reachable are never
   * dropped: their end could not be reported any more.
   */
  static final int MAX_SILENT_MACHINES = 8_192;

  /** REACHABLE sends heartbeats here; SILENT did, and now sends them elsewhere or nowhere. */
  private enum State {
    REACHABLE,
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

  /** In the order of their last change. */
  private final Map<String, TrackedMachine> byLastChange = new LinkedHashMap<>();

  /** The reachable ones, the one with the oldest heartbeat first. */
  private final Map<String, TrackedMachine> reachable = new LinkedHashMap<>();

  /** The silent ones, in the order in which they became so. */
  private final Map<String, TrackedMachine> silent = new LinkedHashMap<>();

  private long lastSequence;

  /** Changes up to this number may have been dropped. */
  private long droppedSequence;

  /**
   * @param timeoutMicros a machine without a heartbeat for so long is silent
   */
  HeartbeatTracker(long timeoutMicros) {
    this.timeoutMicros = timeoutMicros;
  }

  void heartbeatReceived(String id, long nowMicros) {
    TrackedMachine machine = reachable.remove(id);
    if (machine == null) {
      machine = byLastChange.computeIfAbsent(id, TrackedMachine::new);
      machine.sinceMicros = nowMicros;
      become(machine, State.REACHABLE);
    }
    machine.lastHeartbeatMicros = nowMicros;
    reachable.put(id, machine);
  }

  /** The one function for every change of state: each gets the next sequence number. */
  private void become(TrackedMachine machine, State next) {
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
      become(oldest, State.SILENT);
    }
  }

  /**
   * What changed after a sequence number; from the beginning when that is not known any more.
   *
   * @param runId of this node, for the digest
   * @param maxChanges at most so many changes are in it; the rest comes with the next
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
