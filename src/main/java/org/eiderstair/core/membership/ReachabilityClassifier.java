package org.eiderstair.core.membership;

import java.util.HashMap;
import java.util.Map;
import org.eiderstair.core.model.MonitoredMachine;

/**
 * Why machines are silent, judged over all of them at one moment. A leader that lost its workers
 * destroyed a healthy fleet within ten seconds: each machine by itself looked dead.
 */
public final class ReachabilityClassifier {
  /** Fewer silent machines than that are no zone's fault and none of this node's. */
  private static final int MANY = 3;

  /** One in so many is few. */
  private static final int FEW_PART = 20;

  /** So many times the patience with one machine when most of all are silent. */
  private static final int ISOLATED_PATIENCE_FACTOR = 3;

  /**
   * REACHABLE reports to this node. SUSPECTED has not lately, but not for long, or peers have yet
   * to say whether it reports to them. REACHABLE_BY_PEER reports to a peer. LEADER_ISOLATED: most
   * machines are silent, so the fault is likely this node's. ZONE_PARTITIONED: its zone is cut off.
   * UNREACHABLE is taken for dead.
   */
  public enum Verdict {
    REACHABLE,
    SUSPECTED,
    REACHABLE_BY_PEER,
    LEADER_ISOLATED,
    ZONE_PARTITIONED,
    UNREACHABLE
  }

  private static final class Zone {
    int silent;
    int all;
    long latestMicros = Long.MIN_VALUE / 2;

    boolean dark() {
      return silent >= MANY && silent * 2 > all;
    }
  }

  private final Membership peers;
  private final boolean unreached;
  private final long patienceMicros;
  private final long darkMicros;
  private final long now;
  private final Map<String, Zone> zones = new HashMap<>();
  private int silent;
  private int all;
  private int elsewhere;
  private int holding;

  ReachabilityClassifier(
      Membership peers,
      Iterable<? extends MonitoredMachine> machines,
      boolean unreached,
      long patienceMicros,
      long darkMicros,
      long now) {
    this.unreached = unreached;
    this.peers = peers;
    this.patienceMicros = patienceMicros;
    this.darkMicros = darkMicros;
    this.now = now;
    for (MonitoredMachine m : machines) {
      if (m.lastHeartbeatMicros() == Long.MAX_VALUE) {
        continue;
      }
      Zone zone = zones.computeIfAbsent(String.valueOf(m.zone()), z -> new Zone());
      all++;
      holding += m.unconfirmed() ? 1 : 0;
      zone.all++;
      zone.latestMicros = Math.max(zone.latestMicros, m.lastHeartbeatMicros());
      if (isMissed(m)) {
        boolean there = peers.isReachableByPeer(m.machine());
        elsewhere += there ? 1 : 0;
        silent += there ? 0 : 1;
        zone.silent += there ? 0 : 1;
      }
    }
  }

  /**
   * Silent for long enough to ask peers for it, so that they have answered when patience is over.
   */
  private boolean isMissed(MonitoredMachine m) {
    long patience = m.unconfirmed() ? patienceMicros * 2 / 5 : patienceMicros;
    return m.lastHeartbeatMicros() != Long.MAX_VALUE
        && now > m.lastHeartbeatMicros() + patience * 4 / 5;
  }

  /** Whether peers are to be asked. */
  public boolean hasMissingMachines() {
    return silent + elsewhere > 0;
  }

  interface ZoneUse {
    void take(String zone, boolean dark, long latestMicros);
  }

  /** Each zone, whether most of its machines are silent now, and when one of it was heard last. */
  void zones(ZoneUse use) {
    zones.forEach((name, z) -> use.take(name, z.dark(), z.latestMicros));
  }

  /**
   * Most machines are silent, or none reaches this node any more: those heard longest ago are
   * merely the first to run out of patience. Seen in a cut: 33 were given back in the second before
   * peers heard them.
   */
  public boolean leaderIsolated() {
    return silent >= MANY && (unreached || silent * 2 > all);
  }

  /** What was found for a machine. */
  public Verdict verdictOf(MonitoredMachine m) {
    long last = m.lastHeartbeatMicros();
    if (!isMissed(m)) {
      return Verdict.REACHABLE;
    }
    if (peers.isReachableByPeer(m.machine())) {
      return Verdict.REACHABLE_BY_PEER;
    }
    boolean dark = peers.isPartitioned(String.valueOf(m.zone()));
    // Where all work waits for what is unconfirmed, a whole zone that nobody sees has said enough
    // in half the time; so have a few machines that do not answer when they are asked, while all
    // others have.
    boolean few = holding * FEW_PART <= all;
    long patience =
        m.unconfirmed() && (dark && !leaderIsolated() || few)
            ? patienceMicros * 2 / 5
            : patienceMicros;
    if (now <= last + patience) {
      return Verdict.SUSPECTED;
    }
    // What peers told before the machine was missed proves nothing. One that cannot be reached is
    // not waited for longer.
    if (peers.mayYetTell(last) && now <= last + patience * 5 / 4) {
      return Verdict.SUSPECTED;
    }
    if (leaderIsolated() && now <= last + patienceMicros * ISOLATED_PATIENCE_FACTOR) {
      return Verdict.LEADER_ISOLATED;
    }
    // Waiting costs little, as what is on it comes free when its lease ends; but not where only its
    // end tells.
    if (dark && !m.unconfirmed() && now <= last + darkMicros) {
      return Verdict.ZONE_PARTITIONED;
    }
    return Verdict.UNREACHABLE;
  }

  /** The same of all machines together. */
  public String evidence() {
    return silent
        + " of "
        + all
        + " silent, "
        + elsewhere
        + " reachable by peers only"
        + (leaderIsolated() ? ", leader isolated" : "")
        + "; "
        + peers.evidence();
  }

  /** What a verdict rests on, for the log. */
  public String evidence(MonitoredMachine m) {
    Zone z = zones.getOrDefault(String.valueOf(m.zone()), new Zone());
    return "silent for "
        + (now - m.lastHeartbeatMicros()) / 1000
        + " ms, as "
        + silent
        + " of "
        + all
        + " machines and "
        + z.silent
        + " of "
        + z.all
        + " in "
        + m.zone()
        + "; "
        + peers.evidence();
  }
}
