package org.eiderstair.core.leadership;

import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * Computes until when a leader may launch tasks and until when it may answer heartbeats. Both
 * bounds derive from two independent times:
 *
 * <ul>
 *   <li><em>lease validity</em>: no other node can lead until this node's lease expires. The lease
 *       period counts from the time at which the latest successful renewal was sent.
 *   <li><em>replica freshness</em>: the replica holds every change made up to a certain time
 *       ({@link Replica#freshAsOfMicros}). An answer of the state service shows this, and the time
 *       is when its request was sent.
 * </ul>
 *
 * A cancellation unknown to this node was confirmed after the time up to which the replica is
 * current. All times are in microseconds of this node's monotonic clock. For the full argument, see
 * docs/design.md, "What a leader may do with an old replica".
 */
public final class LeadershipBounds {
  /** Allows for the delay between a decision and the sending of its result. */
  private static final long SEND_MARGIN_MICROS = 250_000;

  /** Within this time a worker notices that its lease has expired, and ends its tasks. */
  private static final long TASK_END_MICROS = 3_000_000;

  /** The clocks of two machines drift apart by at most one part in this many (0.05%). */
  private static final long MAX_CLOCK_DRIFT_DIVISOR = 2_000;

  private final long leaseMicros;
  private final long answerPeriodMicros;
  private final Replica replica;
  private long renewedMicros;

  LeadershipBounds(Settings settings, Replica replica) {
    long ttl = settings.tuning().leaderTtlMicros();
    this.leaseMicros = ttl - ttl / MAX_CLOCK_DRIFT_DIVISOR - SEND_MARGIN_MICROS;
    this.answerPeriodMicros = Math.max(0, answerPeriodMicros(settings));
    this.replica = replica;
  }

  private static long answerPeriodMicros(Settings settings) {
    long cancel = settings.workerTimings().cancelMicros();
    return cancel
        - settings.workerTimings().leaseMicros()
        - cancel / MAX_CLOCK_DRIFT_DIVISOR
        - TASK_END_MICROS;
  }

  /**
   * Returns whether the settings allow a leader to answer heartbeats for at least as long as its
   * own lease lasts. Otherwise workers would stop their tasks between two renewals of the leader's
   * lease.
   */
  public static boolean isAnswerPeriodSufficient(Settings settings) {
    return answerPeriodMicros(settings) >= settings.tuning().leaderTtlMicros();
  }

  /**
   * Records that the lease was granted or renewed.
   *
   * @param sentMicros when the request was sent
   */
  public void renewed(long sentMicros) {
    renewedMicros = sentMicros;
  }

  /** Returns when the latest successful request for the lease was sent. */
  long renewedMicros() {
    return renewedMicros;
  }

  /** Returns the time up to which the replica is known to hold every change. */
  long replicaCurrentMicros() {
    return replica.freshAsOfMicros();
  }

  /**
   * Returns until when no other node can lead. This is the bound for operations that are durable or
   * fenced, such as requests to the cloud.
   */
  public long leaseEndMicros() {
    return renewedMicros + leaseMicros;
  }

  /**
   * Returns until when the leader may launch tasks. Until then no other node can lead, and the
   * replica is no older than the lease period. Tasks that another node cancelled longer ago are
   * therefore never started. A launch may be part of a heartbeat answer, so this bound is never
   * later than {@link #answerEndMicros}.
   */
  public long launchEndMicros() {
    long confirmedMicros = Math.min(renewedMicros, replicaCurrentMicros());
    return Math.min(confirmedMicros + leaseMicros, answerEndMicros());
  }

  /**
   * Returns until when the leader may answer heartbeats. Each answer renews a worker's lease. A job
   * may have been cancelled without this node's knowledge; answers then contain no kill for the
   * job's tasks. After this bound, workers lose their leases and end these tasks within {@code
   * cancel_s} of the cancellation.
   */
  public long answerEndMicros() {
    return replicaCurrentMicros() + answerPeriodMicros;
  }
}
