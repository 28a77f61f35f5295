package org.eiderstair.core.settings;

import java.util.List;
import java.util.Map;

/**
 * What the core needs to know of its deployment. Read from the platform's file and the operators'
 * own.
 *
 * @param cpuShare of one core that this node has; 0 when that is not known
 * @param nodeZones the zone of each controller, this one included, as far as it is known
 */
public record Settings(
    String node,
    List<String> peers,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    long reportMicros,
    long leaseMicros,
    long cancelMicros,
    double stateRps,
    double stateWriteRps,
    int stateTransactionOps,
    double cloudRps,
    Tuning tuning,
    Map<String, String> nodeZones,
    double cpuShare) {

  /**
   * Streaming to a standby costs a leader and its standby about a fiftieth of a core each at the
   * fleet size.
   */
  private static final double STANDBY_SHARE = 0.2;

  /** Where it is not known in which zones the controllers are. */
  public Settings(
      String node,
      List<String> peers,
      List<String> zones,
      Map<String, Team> teams,
      List<Objective> objectives,
      long reportMicros,
      long leaseMicros,
      long cancelMicros,
      double stateRps,
      double stateWriteRps,
      int stateTransactionOps,
      double cloudRps,
      Tuning tuning) {
    this(
        node,
        peers,
        zones,
        teams,
        objectives,
        reportMicros,
        leaseMicros,
        cancelMicros,
        stateRps,
        stateWriteRps,
        stateTransactionOps,
        cloudRps,
        tuning,
        Map.of(),
        0);
  }

  /**
   * How long requests of one kind are gathered before one asks the state service for all of them:
   * with watching and confirming on every node, about two thirds of its limit at the most.
   */
  public long gatherMicros() {
    return (long) (3e6 * (peers.size() + 1) / stateRps);
  }

  /**
   * Whether a leader keeps a standby in sync: where the machine is large enough, and operators did
   * not turn it off.
   */
  public boolean keepsStandby() {
    return tuning.standbys() > 0 && (cpuShare <= 0 || cpuShare >= STANDBY_SHARE);
  }

  /** A team's guarantee and limit; a limit of 0 means none. */
  public record Team(
      String name, double cpus, double cpusMax, double accelerators, double acceleratorsMax) {}

  /** What users expect of a class of jobs. */
  public record Objective(String kind, String jobClass, long withinMicros, double share) {}

  /** The operators' own settings; docs/operating.md describes each. */
  public record Tuning(
      int tokenListSize,
      int machineQueue,
      long leaderTtlMicros,
      long leaderRenewMicros,
      long unreachableDeleteMicros,
      long partitionedDeleteMicros,
      long idleReturnMicros,
      int rentBatch,
      int standbys) {
    /** What holds where operators set nothing. */
    public static Tuning defaults() {
      return new Tuning(
          256, 2, 4_500_000L, 1_200_000L, 10_000_000L, 10_000_000L, 20_000_000L, 50, 1);
    }
  }
}
