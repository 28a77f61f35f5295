package org.eiderstair.core.membership;

import java.util.HashMap;
import java.util.Map;
import org.eiderstair.core.model.MonitoredMachine;

/**
 * Why machines are silent, judged over all of them at one moment. A leader that lost its workers
 * once destroyed a healthy fleet within ten seconds: each machine by itself looked dead.
 */
public final class ReachabilityClassifier {
  /** Fewer silent machines than that are no zone's fault and none of this node's. */
  private static final int MIN_CORRELATED = 3;

  /** One in so many is few. */
  private static final int FEW_FRACTION = 20;

  /** So many times the usual timeout applies while this node itself is likely cut off. */
  private static final int ISOLATED_TIMEOUT_FACTOR = 3;

  /** What is concluded of a machine. */
  public enum Verdict {
    /** It reports to this node. */
    REACHABLE,
    /** It has not lately, but not for long, or peers have yet to say whether it reports to them. */
    SUSPECTED,
    /** It reports to a peer. */
    REACHABLE_BY_PEER,
    /** Most machines are silent, so the fault is likely this node's. */
    LEADER_ISOLATED,
    /** Its zone is cut off. */
    ZONE_PARTITIONED,
    /** It is taken for dead. */
    UNREACHABLE;

    /** Whether it has been silent for longer than a machine alone may be, whatever the reason. */
    public boolean isOverdue() {
      return this != REACHABLE && this != SUSPECTED;
    }
  }

  private static final class ZoneCount {
    int silent;
    int all;
    long latestHeartbeatMicros = Long.MIN_VALUE / 2;

    boolean isMostlySilent() {
      return silent >= MIN_CORRELATED && silent * 2 > all;
    }
  }

  /** Takes what was counted in one zone. */
  interface ZoneVisitor {
    void visit(String zone, boolean mostlySilent, long latestHeartbeatMicros);
  }

  private final Membership membership;
  private final boolean leaderUnreached;
  private final long timeoutMicros;
  private final long partitionedMicros;
  private final long now;
  private final Map<String, ZoneCount> zones = new HashMap<>();
  private int silent;
  private int all;
  private int reachableByPeers;
  private int unconfirmed;

  ReachabilityClassifier(
      Membership membership,
      Iterable<? extends MonitoredMachine> machines,
      boolean leaderUnreached,
      long timeoutMicros,
      long partitionedMicros,
      long now) {
    this.membership = membership;
    this.leaderUnreached = leaderUnreached;
    this.timeoutMicros = timeoutMicros;
    this.partitionedMicros = partitionedMicros;
    this.now = now;
    for (MonitoredMachine machine : machines) {
      if (isExpected(machine)) {
        count(machine);
      }
    }
  }

  /** One that is still booting has no heartbeat to be late with. */
  private static boolean isExpected(MonitoredMachine machine) {
    return machine.lastHeartbeatMicros() != Long.MAX_VALUE;
  }

  private void count(MonitoredMachine machine) {
    ZoneCount zone = zones.computeIfAbsent(zoneOf(machine), name -> new ZoneCount());
    all++;
    zone.all++;
    unconfirmed += machine.unconfirmed() ? 1 : 0;
    zone.latestHeartbeatMicros =
        Math.max(zone.latestHeartbeatMicros, machine.lastHeartbeatMicros());
    if (!isMissing(machine)) {
      return;
    }
    if (membership.isReachableByPeer(machine.machine())) {
      reachableByPeers++;
    } else {
      silent++;
      zone.silent++;
    }
  }

  private static String zoneOf(MonitoredMachine machine) {
    return String.valueOf(machine.zone());
  }

  /** Where all work waits for what is unconfirmed, two fifths of the time are enough. */
  private long shortenedTimeout() {
    return timeoutMicros * 2 / 5;
  }

  /** Silent for long enough to ask peers for it, so that they have answered at its timeout. */
  private boolean isMissing(MonitoredMachine machine) {
    long timeout = machine.unconfirmed() ? shortenedTimeout() : timeoutMicros;
    return isExpected(machine) && now > machine.lastHeartbeatMicros() + timeout * 4 / 5;
  }

  /** Whether peers are to be asked. */
  public boolean hasMissingMachines() {
    return silent + reachableByPeers > 0;
  }

  void forEachZone(ZoneVisitor visitor) {
    zones.forEach(
        (name, zone) -> visitor.visit(name, zone.isMostlySilent(), zone.latestHeartbeatMicros));
  }

  /**
   * Whether this node is likely cut off: most machines are silent, or none reaches it any more. In
   * the second case those that are silent the longest are merely the first to time out; in one cut
   * 33 were released in the second before peers reached them.
   */
  private boolean isLeaderIsolated() {
    return silent >= MIN_CORRELATED && (leaderUnreached || silent * 2 > all);
  }

  /** What is concluded of a machine. */
  public Verdict verdictOf(MonitoredMachine machine) {
    if (!isMissing(machine)) {
      return Verdict.REACHABLE;
    }
    if (membership.isReachableByPeer(machine.machine())) {
      return Verdict.REACHABLE_BY_PEER;
    }
    boolean partitioned = membership.isPartitioned(zoneOf(machine));
    long last = machine.lastHeartbeatMicros();
    if (isSuspected(last, timeoutOf(machine, partitioned))) {
      return Verdict.SUSPECTED;
    }
    if (isLeaderIsolated() && now <= last + timeoutMicros * ISOLATED_TIMEOUT_FACTOR) {
      return Verdict.LEADER_ISOLATED;
    }
    // Waiting costs little, as what is on it comes free when its lease expires; but not where only
    // its end shows what it runs.
    if (partitioned && !machine.unconfirmed() && now <= last + partitionedMicros) {
      return Verdict.ZONE_PARTITIONED;
    }
    return Verdict.UNREACHABLE;
  }

  /**
   * Where all work waits for what is unconfirmed, a whole zone that is cut off has said enough in
   * less time; so have a few machines that do not answer when they are asked, while all others
   * have.
   */
  private long timeoutOf(MonitoredMachine machine, boolean partitioned) {
    boolean few = unconfirmed * FEW_FRACTION <= all;
    boolean shortened = machine.unconfirmed() && ((partitioned && !isLeaderIsolated()) || few);
    return shortened ? shortenedTimeout() : timeoutMicros;
  }

  /**
   * What peers reported before the machine was missing proves nothing; one that cannot be reached
   * is not waited for longer.
   */
  private boolean isSuspected(long lastHeartbeatMicros, long timeout) {
    if (now <= lastHeartbeatMicros + timeout) {
      return true;
    }
    return membership.mayYetReport(lastHeartbeatMicros)
        && now <= lastHeartbeatMicros + timeout * 5 / 4;
  }

  /** What the verdicts rest on, over all machines, for the log. */
  public String evidence() {
    return silent
        + " of "
        + all
        + " silent, "
        + reachableByPeers
        + " reachable by peers only"
        + (isLeaderIsolated() ? ", leader isolated" : "")
        + "; "
        + membership.evidence();
  }

  /** What a verdict rests on, for the log. */
  public String evidence(MonitoredMachine machine) {
    ZoneCount zone = zones.getOrDefault(zoneOf(machine), new ZoneCount());
    return "silent for "
        + (now - machine.lastHeartbeatMicros()) / 1000
        + " ms, as "
        + silent
        + " of "
        + all
        + " machines and "
        + zone.silent
        + " of "
        + zone.all
        + " in "
        + machine.zone()
        + "; "
        + membership.evidence();
  }
}
