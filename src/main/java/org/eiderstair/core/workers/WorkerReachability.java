package org.eiderstair.core.workers;

import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.settings.Settings;

/** Judges by the heartbeats whether the machines can still reach this leader. */
public final class WorkerReachability {
  /**
   * Added to one and a half heartbeat intervals: covers a worker's request timeout and its next
   * attempt.
   */
  private static final long SILENCE_MARGIN_MICROS = 2_500_000;

  /** The minimum number of machines for a verdict. Fewer machines may all fail independently. */
  private static final int MIN_MACHINES = 3;

  private static final long MIN_WINDOW_MICROS = 1_500_000;

  /** The number of heartbeats expected in a window. One direct heartbeat of these suffices. */
  private static final int EXPECTED_HEARTBEATS_PER_WINDOW = 10;

  /** Silent machines must outnumber the others by more than this factor to indicate a partition. */
  private static final int ISOLATION_FACTOR = 3;

  private final Settings settings;
  private final EventTime time;
  private final WorkerRegistry registry;
  private final OverloadMonitor overload;
  private int directHeartbeats;
  private long windowStartMicros;
  private long tookOverMicros;
  private boolean fewDirectHeartbeats;

  WorkerReachability(
      Settings settings, EventTime time, WorkerRegistry registry, OverloadMonitor overload) {
    this.settings = settings;
    this.time = time;
    this.registry = registry;
    this.overload = overload;
  }

  /** Records the time of the takeover, from which on the machines of the term are known. */
  void recordTakeover() {
    tookOverMicros = time.nowMicros();
  }

  /** Counts a heartbeat that came directly from its machine, not through a peer. */
  void recordDirectHeartbeat() {
    directHeartbeats++;
  }

  /**
   * Returns whether heartbeats may be missing because this node is overloaded. Missing heartbeats
   * are then no reason to resign or to release machines, since another leader would be overloaded
   * as well.
   */
  public boolean isOverloaded() {
    return overload.mayCauseMissingHeartbeats(time.nowMicros());
  }

  /**
   * Returns whether less than a tenth of the expected heartbeats came directly in the last window,
   * although this node is not overloaded. The cause may be the machines or this node; only the
   * peers can tell which.
   */
  public boolean hasFewDirectHeartbeats() {
    long now = time.nowMicros();
    long intervalMicros = settings.workerTimings().heartbeatMicros();
    int machines = registry.leased().size();
    long windowMicros =
        Math.max(
            MIN_WINDOW_MICROS,
            EXPECTED_HEARTBEATS_PER_WINDOW * intervalMicros / Math.max(1, machines));
    if (now >= windowStartMicros + windowMicros) {
      double expected = (double) (now - windowStartMicros) * machines / intervalMicros;
      fewDirectHeartbeats =
          windowStartMicros > tookOverMicros
              && machines >= MIN_MACHINES
              && directHeartbeats * EXPECTED_HEARTBEATS_PER_WINDOW < expected;
      windowStartMicros = now;
      directHeartbeats = 0;
    }
    return fewDirectHeartbeats && !isOverloaded();
  }

  /** Returns the number of known machines past booting that send heartbeats to a peer. */
  public int countReachableByPeers(Membership membership) {
    return membership.countReachableByPeers(
        id -> {
          Machine machine = registry.machines().get(id);
          return machine != null && machine.phase() != Machine.Phase.BOOTING;
        });
  }

  /**
   * Returns whether this leader seems partitioned from its machines. Most machines that had sent
   * heartbeats are then silent, which dead machines alone do not explain. Relayed heartbeats count.
   * An overloaded leader does not count as isolated.
   */
  public boolean isIsolated() {
    if (isOverloaded()) {
      return false;
    }
    long intervalMicros = settings.workerTimings().heartbeatMicros();
    long silenceLimitMicros = intervalMicros * 3 / 2 + SILENCE_MARGIN_MICROS;
    int silent = 0;
    int reachable = 0;
    for (Machine machine : registry.machines().values()) {
      if (machine.phase() == Machine.Phase.CONFIRMED || machine.phase() == Machine.Phase.FENCING) {
        if (time.nowMicros() > machine.lastContactMicros() + silenceLimitMicros) {
          silent++;
        } else {
          reachable++;
        }
      }
    }
    return silent >= MIN_MACHINES && silent > reachable * ISOLATION_FACTOR;
  }
}
