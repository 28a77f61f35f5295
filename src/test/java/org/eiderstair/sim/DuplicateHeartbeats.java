package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.model.Heartbeat;

/** Delivers copies of some heartbeats a second time: late, or to the next leader. */
final class DuplicateHeartbeats {
  private static final int DUPLICATE_PERCENT = 30;

  /** Minimum delay of a copy that is delivered late. */
  private static final long MIN_DELAY_MICROS = 2_000_000;

  private static final int NEW_LEADER_JITTER_MICROS = 400_000;

  private record Copy(String worker, Heartbeat heartbeat) {}

  private final SimulatedCluster cluster;
  private final List<Copy> keptForNextLeader = new ArrayList<>();
  private int percent;
  private boolean forNextLeader;
  private int deliveredToNewLeaders;

  DuplicateHeartbeats(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** Delivers copies of some heartbeats 2 s to one and a half worker leases plus 2 s later. */
  void deliverLate(long micros) {
    start(false, micros);
  }

  /** Keeps copies of some heartbeats until the next election. */
  void keepForNextLeader(long micros) {
    start(true, micros);
  }

  private void start(boolean keep, long micros) {
    percent = DUPLICATE_PERCENT;
    forNextLeader = keep;
    cluster.clock.after(micros, () -> percent = 0);
  }

  /** Copies a heartbeat that a worker has sent, with the current probability. */
  void onHeartbeatSent(String worker, int node, Heartbeat heartbeat) {
    if (percent == 0 || cluster.random.nextInt(100) >= percent) {
      return;
    }
    if (forNextLeader) {
      keptForNextLeader.add(new Copy(worker, heartbeat));
    } else {
      long delayMicros =
          MIN_DELAY_MICROS + cluster.random.nextInt((int) (SimulatedCluster.LEASE_MICROS * 3 / 2));
      cluster.clock.after(
          delayMicros, () -> cluster.deliverHeartbeat(worker, node, heartbeat, answer -> {}));
    }
  }

  /** Returns how many kept copies were sent after an election. */
  int deliveredToNewLeaders() {
    return deliveredToNewLeaders;
  }

  /** Sends all kept copies to every controller, just after an election. */
  void onNewLeader() {
    for (Copy copy : keptForNextLeader) {
      deliveredToNewLeaders++;
      for (int i = 0; i < cluster.size.nodes(); i++) {
        int node = i;
        cluster.clock.after(
            cluster.random.nextInt(NEW_LEADER_JITTER_MICROS),
            () -> cluster.deliverHeartbeat(copy.worker(), node, copy.heartbeat(), answer -> {}));
      }
    }
    keptForNextLeader.clear();
  }
}
