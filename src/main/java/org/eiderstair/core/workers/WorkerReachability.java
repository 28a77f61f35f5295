package org.eiderstair.core.workers;

import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.settings.Settings;

/** Whether the machines still reach this leader, as far as their heartbeats tell. */
public final class WorkerReachability {
  /** Beside one and a half intervals of heartbeats: a worker's time limit, and its next attempt. */
  private static final long SILENCE_MARGIN_MICROS = 2_500_000;

  /** Fewer machines may well be silent by themselves. */
  private static final int MIN_MACHINES = 3;

  private static final long MIN_WINDOW_MICROS = 1_500_000;

  /** A window is expected to contain so many heartbeats; one of them suffices. */
  private static final int HEARTBEATS_PER_WINDOW = 10;

  /** So many times as many silent machines as others are not silent by themselves. */
  private static final int ISOLATION_FACTOR = 3;

  private final Settings settings;
  private final EventTime time;
  private final WorkerRegistry registry;
  private final OverloadMonitor overload;
  private int directHeartbeats;
  private long windowStartMicros;
  private long tookOverMicros;
  private boolean fewReachDirectly;

  WorkerReachability(
      Settings settings, EventTime time, WorkerRegistry registry, OverloadMonitor overload) {
    this.settings = settings;
    this.time = time;
    this.registry = registry;
    this.overload = overload;
  }

  /** The term's machines are known from now on. */
  void begin() {
    tookOverMicros = time.nowMicros();
  }

  /** A heartbeat came from its machine itself, not through a peer. */
  void noteDirectHeartbeat() {
    directHeartbeats++;
  }

  /**
   * Whether heartbeats may be missing because this node is overloaded: then their absence is no
   * reason to hand over or to release machines. Another leader would be overloaded as well.
   */
  public boolean isOverloaded() {
    return overload.explainsSilence(time.nowMicros());
  }

  /**
   * Whether hardly any machine reaches this leader by itself, though it is not overloaded: less
   * than a tenth of the expected heartbeats came directly in the last window. That alone may be the
   * machines' fault as well as its own: peers tell.
   */
  public boolean isReachedByFew() {
    long now = time.nowMicros();
    long intervalMicros = settings.workerTimings().heartbeatMicros();
    int machines = registry.leased().size();
    long windowMicros =
        Math.max(MIN_WINDOW_MICROS, HEARTBEATS_PER_WINDOW * intervalMicros / Math.max(1, machines));
    if (now >= windowStartMicros + windowMicros) {
      double expected = (double) (now - windowStartMicros) * machines / intervalMicros;
      fewReachDirectly =
          windowStartMicros > tookOverMicros
              && machines >= MIN_MACHINES
              && directHeartbeats * HEARTBEATS_PER_WINDOW < expected;
      windowStartMicros = now;
      directHeartbeats = 0;
    }
    return fewReachDirectly && !isOverloaded();
  }

  /** How many machines that this leader knows send heartbeats to a peer. */
  public int countReachableByPeers(Membership membership) {
    return membership.countReachableByPeers(
        id -> {
          Machine machine = registry.machines().get(id);
          return machine != null && machine.phase() != Machine.Phase.BOOTING;
        });
  }

  /**
   * Whether this leader seems partitioned from its machines: many of those that had sent heartbeats
   * are silent, and hardly any is not. Dead machines alone do not look like that, and relayed
   * heartbeats count; nor does an overloaded leader.
   */
  public boolean isIsolated() {
    if (isOverloaded()) {
      return false;
    }
    long intervalMicros = settings.workerTimings().heartbeatMicros();
    long patienceMicros = intervalMicros * 3 / 2 + SILENCE_MARGIN_MICROS;
    int silent = 0;
    int reachable = 0;
    for (Machine machine : registry.machines().values()) {
      if (machine.phase() == Machine.Phase.CONFIRMED || machine.phase() == Machine.Phase.FENCING) {
        if (time.nowMicros() > machine.lastContactMicros() + patienceMicros) {
          silent++;
        } else {
          reachable++;
        }
      }
    }
    return silent >= MIN_MACHINES && silent > reachable * ISOLATION_FACTOR;
  }
}
