package org.eiderstair.core.membership;

import java.util.HashMap;
import java.util.Map;
import org.eiderstair.core.model.MonitoredMachine;

/**
 * Classifies silent machines by the likely cause of their silence, considering all machines at one
 * moment. A leader that was cut off from its workers once released a healthy fleet within ten
 * seconds, because each machine on its own looked dead.
 */
public final class ReachabilityClassifier {
  /** Fewer silent machines than this are attributed neither to their zone nor to this node. */
  private static final int MIN_CORRELATED_MACHINES = 3;

  /** Unconfirmed machines are few if they are at most one in this many machines. */
  private static final int FEW_UNCONFIRMED_DIVISOR = 20;

  /** The factor on the usual timeout while this node itself is likely cut off. */
  private static final int ISOLATED_TIMEOUT_FACTOR = 3;

  /** The state of a machine, or the likely cause of its silence. */
  public enum Verdict {
    /** The machine is not missing: its last heartbeat is recent, or it has yet to boot. */
    REACHABLE,
    /** The machine is missing, but its timeout has not passed or a peer may still report it. */
    SUSPECTED,
    /** A peer receives the machine's heartbeats. */
    REACHABLE_BY_PEER,
    /** The machine is silent, but so are most others, so this node is likely cut off. */
    LEADER_ISOLATED,
    /** The machine is silent, but its zone is cut off. */
    ZONE_PARTITIONED,
    /** The machine is presumed dead. */
    UNREACHABLE;

    /** Returns whether this node misses heartbeats for longer than the timeout, for any reason. */
    public boolean isOverdue() {
      return this != REACHABLE && this != SUSPECTED;
    }
  }

  private static final class ZoneCount {
    int silent;
    int all;
    long latestHeartbeatMicros = Long.MIN_VALUE / 2;

    boolean isMostlySilent() {
      return silent >= MIN_CORRELATED_MACHINES && silent * 2 > all;
    }
  }

  /** Receives the counts of one zone. */
  interface ZoneVisitor {
    void visit(String zone, boolean mostlySilent, long latestHeartbeatMicros);
  }

  private final Membership membership;
  private final boolean reachedByFew;
  private final long timeoutMicros;
  private final long partitionedTimeoutMicros;
  private final long now;
  private final Map<String, ZoneCount> zones = new HashMap<>();
  private int silent;
  private int all;
  private int reachableByPeers;
  private int unconfirmed;

  ReachabilityClassifier(
      Membership membership,
      Iterable<? extends MonitoredMachine> machines,
      boolean reachedByFew,
      long timeoutMicros,
      long partitionedTimeoutMicros,
      long now) {
    this.membership = membership;
    this.reachedByFew = reachedByFew;
    this.timeoutMicros = timeoutMicros;
    this.partitionedTimeoutMicros = partitionedTimeoutMicros;
    this.now = now;
    for (MonitoredMachine machine : machines) {
      if (expectsHeartbeats(machine)) {
        count(machine);
      }
    }
  }

  /** Returns false for a machine that is still booting, as no heartbeat of it can be late. */
  private static boolean expectsHeartbeats(MonitoredMachine machine) {
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

  /** Returns two fifths of the usual timeout, for unconfirmed machines that all work waits for. */
  private long shortenedTimeoutMicros() {
    return timeoutMicros * 2 / 5;
  }

  /**
   * Returns whether the machine has been silent for four fifths of its timeout. Peers are queried
   * from then on, so that they have answered when the timeout passes.
   */
  private boolean isMissing(MonitoredMachine machine) {
    long timeout = machine.unconfirmed() ? shortenedTimeoutMicros() : timeoutMicros;
    return expectsHeartbeats(machine) && now > machine.lastHeartbeatMicros() + timeout * 4 / 5;
  }

  /** Returns whether any machine is missing, so that the peers are to be queried. */
  public boolean hasMissingMachines() {
    return silent + reachableByPeers > 0;
  }

  void forEachZone(ZoneVisitor visitor) {
    zones.forEach(
        (name, zone) -> visitor.visit(name, zone.isMostlySilent(), zone.latestHeartbeatMicros));
  }

  /**
   * Returns whether this node is likely cut off: most machines are silent, or hardly any reaches it
   * any more. In the second case the machines that are silent the longest are only the first to
   * time out. In one such partition 33 machines were released in the second before peers reached
   * them.
   */
  private boolean isLeaderIsolated() {
    return silent >= MIN_CORRELATED_MACHINES && (reachedByFew || silent * 2 > all);
  }

  /** Returns the verdict on one of the machines. */
  public Verdict verdictOf(MonitoredMachine machine) {
    if (!isMissing(machine)) {
      return Verdict.REACHABLE;
    }
    if (membership.isReachableByPeer(machine.machine())) {
      return Verdict.REACHABLE_BY_PEER;
    }
    boolean partitioned = membership.isPartitioned(zoneOf(machine));
    long last = machine.lastHeartbeatMicros();
    if (isSuspected(last, timeoutMicrosOf(machine, partitioned))) {
      return Verdict.SUSPECTED;
    }
    if (isLeaderIsolated() && now <= last + timeoutMicros * ISOLATED_TIMEOUT_FACTOR) {
      return Verdict.LEADER_ISOLATED;
    }
    // Keeping a partitioned machine costs little, since its tasks are freed when its lease expires.
    // An unconfirmed machine is not kept, since only its end shows what it runs.
    if (partitioned && !machine.unconfirmed() && now <= last + partitionedTimeoutMicros) {
      return Verdict.ZONE_PARTITIONED;
    }
    return Verdict.UNREACHABLE;
  }

  /**
   * Returns how long the machine may be silent. The timeout of an unconfirmed machine is shortened
   * in two cases, since all work waits for unconfirmed machines. Either its whole zone is cut off
   * and this node is not, or only a few machines are unconfirmed: those have not answered, while
   * all others have.
   */
  private long timeoutMicrosOf(MonitoredMachine machine, boolean partitioned) {
    boolean few = unconfirmed * FEW_UNCONFIRMED_DIVISOR <= all;
    boolean shortened = machine.unconfirmed() && ((partitioned && !isLeaderIsolated()) || few);
    return shortened ? shortenedTimeoutMicros() : timeoutMicros;
  }

  /**
   * Returns whether the verdict must wait: the timeout has not passed, or a peer may still report
   * that it has reached the machine since its last heartbeat. A report from before that heartbeat
   * proves nothing. The wait for reports ends after a further quarter of the timeout.
   */
  private boolean isSuspected(long lastHeartbeatMicros, long timeout) {
    if (now <= lastHeartbeatMicros + timeout) {
      return true;
    }
    return membership.isReportPending(lastHeartbeatMicros)
        && now <= lastHeartbeatMicros + timeout * 5 / 4;
  }

  /** Returns the counts over all machines that the verdicts are based on, for the log. */
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

  /** Returns the counts that the verdict on a machine is based on, for the log. */
  public String evidence(MonitoredMachine machine) {
    ZoneCount zone = zones.getOrDefault(zoneOf(machine), new ZoneCount());
    return "silent for "
        + (now - machine.lastHeartbeatMicros()) / 1000
        + " ms, as are "
        + silent
        + " of "
        + all
        + " machines and "
        + zone.silent
        + " of "
        + zone.all
        + " in zone="
        + machine.zone()
        + "; "
        + membership.evidence();
  }
}
