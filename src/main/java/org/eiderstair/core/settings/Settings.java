package org.eiderstair.core.settings;

import java.util.List;
import java.util.Map;

/**
 * What the core needs to know of its deployment, read from the platform's file and the operators'
 * own.
 *
 * @param node the name of this node
 * @param peers the names of the other controllers
 * @param zones in which machines can be rented
 * @param teams by name
 * @param objectives the service-level objectives by class of jobs
 * @param workerTimings how often workers send heartbeats, and when their work ends
 * @param stateLimits what the state service accepts
 * @param cloudRequestsPerSecond what the cloud accepts
 * @param tuning the operators' own settings
 * @param nodeZones the zone of each controller, this one included, as far as it is known
 * @param cpuShare of one core that this node has; 0 when that is not known
 */
public record Settings(
    String node,
    List<String> peers,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    WorkerTimings workerTimings,
    StateServiceLimits stateLimits,
    double cloudRequestsPerSecond,
    Tuning tuning,
    Map<String, String> nodeZones,
    double cpuShare) {

  /**
   * Replication to a standby costs a leader and its standby about a fiftieth of a core each at the
   * fleet size.
   */
  private static final double MIN_CPU_SHARE_FOR_STANDBY = 0.2;

  static final double UNKNOWN_CPU_SHARE = 0;

  /** Divided by the accepted requests per second, it is the gathering time of a single node. */
  private static final double GATHER_MICROS_PER_REQUEST = 3e6;

  /**
   * How long requests of one kind are gathered before one asks the state service for all of them.
   * With the watches and confirmations of all nodes this makes about two thirds of the requests
   * that it accepts, at most.
   */
  public long gatherMicros() {
    int nodes = peers.size() + 1;
    return (long) (GATHER_MICROS_PER_REQUEST * nodes / stateLimits.requestsPerSecond());
  }

  /**
   * Whether a leader keeps a standby in sync: where its share of a core is large enough or not
   * known, and operators did not turn it off.
   */
  public boolean keepsStandby() {
    boolean affordable = cpuShare <= UNKNOWN_CPU_SHARE || cpuShare >= MIN_CPU_SHARE_FOR_STANDBY;
    return tuning.standbys() > 0 && affordable;
  }

  /** A team's guarantee and limit; a limit of 0 means none. */
  public record Team(
      String name, double cpus, double cpusMax, double accelerators, double acceleratorsMax) {}

  /**
   * A service-level objective of a class of jobs: what share of them is to keep a time.
   *
   * @param withinMicros the time; 0 where the objective states none
   */
  public record Objective(Kind kind, String jobClass, long withinMicros, double share) {
    /** What the time is measured to. */
    public enum Kind {
      /** The end of a job, within the deadline that its user gave. */
      DEADLINE,
      /** The start of a job. */
      WAIT,
      /** Any other: jobs are planned to end within the time, if there is one. */
      OTHER;

      /** The kind of an objective by its name in the platform's file. */
      public static Kind of(String name) {
        return switch (name) {
          case "deadline" -> DEADLINE;
          case "wait" -> WAIT;
          default -> OTHER;
        };
      }
    }
  }

  /**
   * The times that workers keep.
   *
   * @param heartbeatMicros from one heartbeat to the next
   * @param leaseMicros after which a worker ends its tasks, counted from its last heartbeat that
   *     was answered
   * @param cancelMicros within which a cancelled job's tasks must have ended
   */
  public record WorkerTimings(long heartbeatMicros, long leaseMicros, long cancelMicros) {}

  /**
   * What the state service accepts from all controllers together.
   *
   * @param transactionOps writes in one transaction
   */
  public record StateServiceLimits(
      double requestsPerSecond, double writesPerSecond, int transactionOps) {}

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
