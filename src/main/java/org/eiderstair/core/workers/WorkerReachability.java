package org.eiderstair.core.workers;

import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.settings.Settings;

/** Whether the machines still reach this leader, as far as their reports tell. */
public final class WorkerReachability {
  private static final long OUT_OF_REACH_MICROS = 2_500_000;
  private static final int FEW = 3;
  private static final long QUIET_MICROS = 1_500_000;
  private static final int REPORTS = 10;

  private final Settings settings;
  private final EventTime time;
  private final WorkerRegistry registry;
  private final OverloadMonitor overload;

  /** Reports that came from machines themselves, not through a peer, since the window began. */
  private int direct;

  private long windowMicros;
  private long sinceMicros;
  private boolean unreached;

  WorkerReachability(
      Settings settings, EventTime time, WorkerRegistry registry, OverloadMonitor overload) {
    this.overload = overload;
    this.settings = settings;
    this.time = time;
    this.registry = registry;
  }

  /** The term's machines are known from now on. */
  void begin() {
    sinceMicros = time.nowMicros();
  }

  /** A report came from its machine itself. */
  void reportedDirectly() {
    direct++;
  }

  /**
   * Whether heartbeats may be missing because this node is overloaded: then their absence is no
   * reason to hand over or to give machines back. Another leader would be overloaded as well.
   */
  public boolean overloaded() {
    return overload.explainsSilence(time.nowMicros());
  }

  /**
   * Whether hardly any machine reaches this leader by itself, though it is not overloaded: over the
   * time that ten reports of the fleet take, less than a tenth of them came. That alone may be the
   * machines' fault as well as its own: peers tell.
   */
  public boolean unreached() {
    long now = time.nowMicros();
    long window =
        Math.max(
            QUIET_MICROS,
            REPORTS
                * settings.workerTimings().heartbeatMicros()
                / Math.max(1, registry.leased().size()));
    if (now >= windowMicros + window) {
      double expected =
          (double) (now - windowMicros)
              * registry.leased().size()
              / settings.workerTimings().heartbeatMicros();
      unreached =
          windowMicros > sinceMicros
              && registry.leased().size() >= FEW
              && direct * REPORTS < expected;
      windowMicros = now;
      direct = 0;
    }
    return unreached && !overloaded();
  }

  /** How many machines that this leader knows a peer hears. */
  public int heardBy(Membership membership) {
    return membership.countReachableByPeers(
        id -> {
          Machine m = registry.machines().get(id);
          return m != null && m.phase() != Machine.Phase.BOOTING;
        });
  }

  /**
   * Whether this leader seems cut off from its machines: many of those it had heard are silent, and
   * hardly any is not. Dead machines alone do not look like that, and relayed reports count as
   * heard; nor does an overloaded leader.
   */
  public boolean outOfReach() {
    if (overloaded()) {
      return false;
    }
    long patience = settings.workerTimings().heartbeatMicros() * 3 / 2 + OUT_OF_REACH_MICROS;
    long now = time.nowMicros();
    int silent = 0;
    int heard = 0;
    for (Machine m : registry.machines().values()) {
      if (m.phase() == Machine.Phase.CONFIRMED || m.phase() == Machine.Phase.FENCING) {
        if (now > m.lastContactMicros() + patience) {
          silent++;
        } else {
          heard++;
        }
      }
    }
    return silent >= 3 && silent > heard * 3;
  }
}
