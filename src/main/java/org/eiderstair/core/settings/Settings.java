package org.eiderstair.core.settings;

import java.util.List;
import java.util.Map;

/**
 * The settings of the core, read from the platform's file and the operators' file.
 *
 * @param node the name of this node
 * @param peers the names of the other controllers
 * @param zones the zones in which machines can be rented
 * @param teams the teams by name
 * @param objectives the service-level objectives of job classes
 * @param workerTimings the intervals and timeouts of workers
 * @param stateServiceLimits the limits of the state service
 * @param cloudRequestsPerSecond the rate of requests that the cloud accepts
 * @param tuning the operators' settings
 * @param nodeZones the zone of each controller, including this node, as far as known
 * @param cpuShare the share of one CPU core that this node has; 0 if unknown
 */
public record Settings(
    String node,
    List<String> peers,
    List<String> zones,
    Map<String, Team> teams,
    List<Objective> objectives,
    WorkerTimings workerTimings,
    StateServiceLimits stateServiceLimits,
    double cloudRequestsPerSecond,
    Tuning tuning,
    Map<String, String> nodeZones,
    double cpuShare) {

  /**
   * At the full fleet size, replication costs the leader and its standby about 2% of a CPU core
   * each.
   */
  private static final double MIN_CPU_SHARE_FOR_STANDBY = 0.2;

  /** The value of {@code cpuShare} if the share is unknown. */
  static final double UNKNOWN_CPU_SHARE = 0;

  /** The batch delay for each node if the state service accepts one request per second. */
  private static final double BATCH_DELAY_MICROS_PER_NODE = 3e6;

  /**
   * Returns the time for which requests of one kind to the state service are collected into one.
   * With this delay, the watches and confirmations of all nodes together use at most about two
   * thirds of the accepted request rate.
   */
  public long batchDelayMicros() {
    int nodes = peers.size() + 1;
    return (long) (BATCH_DELAY_MICROS_PER_NODE * nodes / stateServiceLimits.requestsPerSecond());
  }

  /**
   * Returns whether the leader replicates its state to a standby. Replication requires a large
   * enough or unknown CPU share, and operators must not have disabled standbys.
   */
  public boolean keepsStandby() {
    boolean affordable = cpuShare <= UNKNOWN_CPU_SHARE || cpuShare >= MIN_CPU_SHARE_FOR_STANDBY;
    return tuning.standbys() > 0 && affordable;
  }

  /** The guaranteed and maximum resources of a team; a maximum of 0 means no limit. */
  public record Team(
      String name,
      double guaranteedCpus,
      double maxCpus,
      double guaranteedAccelerators,
      double maxAccelerators) {}

  /**
   * A service-level objective of a job class: the share of jobs that must meet a time limit.
   *
   * @param kind the event that the time limit refers to
   * @param jobClass the job class
   * @param withinMicros the time limit; 0 if the objective has none
   * @param share the share of jobs that must meet the time limit
   */
  public record Objective(Kind kind, String jobClass, long withinMicros, double share) {
    /** The event that the time limit refers to. */
    public enum Kind {
      /** The end of a job, within the deadline set by its user. */
      DEADLINE,
      /** The start of a job. */
      WAIT,
      /** Another event; jobs are planned to end within the time limit, if there is one. */
      OTHER;

      /** Returns the kind for a name in the platform's file; {@link #OTHER} if unknown. */
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
   * The intervals and timeouts of workers.
   *
   * @param heartbeatMicros the interval between heartbeats
   * @param leaseMicros the time after which a worker ends its tasks, counted from its last answered
   *     heartbeat
   * @param cancelMicros the time within which the tasks of a cancelled job must have ended
   */
  public record WorkerTimings(long heartbeatMicros, long leaseMicros, long cancelMicros) {}

  /**
   * The limits of the state service for all controllers together.
   *
   * @param requestsPerSecond the accepted rate of requests
   * @param writesPerSecond the accepted rate of writes
   * @param maxWritesPerTransaction the maximum number of writes in one transaction
   */
  public record StateServiceLimits(
      double requestsPerSecond, double writesPerSecond, int maxWritesPerTransaction) {}

  /** The operators' settings; docs/operating.md describes each of them. */
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
    /** Returns the default settings, for values that the operators' file does not set. */
    public static Tuning defaults() {
      return new Tuning(
          256, 2, 4_500_000L, 1_200_000L, 10_000_000L, 10_000_000L, 20_000_000L, 50, 1);
    }
  }
}
