package org.eiderstair.core.leadership;

import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * Until when a leader may launch and until when it may answer heartbeats: the one place for both
 * bounds. They rest on two times, neither of which says anything about the other:
 *
 * <ul>
 *   <li><em>lease validity</em>: no other node can lead until this node's lease expires, counted
 *       from when its latest renewal was sent;
 *   <li><em>replica freshness</em>: the replica holds every change that was made up to the time at
 *       which the latest request was sent whose answer shows so ({@link Replica#freshAsOfMicros}).
 * </ul>
 *
 * A cancellation that this node does not know of was confirmed after the replica was last shown to
 * be current. All times are of this node's steady clock, in microseconds. docs/design.md, "What a
 * leader may do with an old replica", has the argument.
 */
public final class LeadershipBounds {
  /** Allows for the time between a decision and its sending. */
  private static final long MARGIN_MICROS = 250_000;

  /** Within this time a worker notices that its lease has expired, and ends its tasks. */
  private static final long TASK_END_MICROS = 3_000_000;

  /** Clocks of two machines drift apart by at most one part in so many (0.05%). */
  private static final long DRIFT_PARTS = 2_000;

  private final long leaseMicros;
  private final long answerPeriodMicros;
  private final Replica replica;
  private long renewedMicros;

  LeadershipBounds(Settings settings, Replica replica) {
    long ttl = settings.tuning().leaderTtlMicros();
    this.leaseMicros = ttl - ttl / DRIFT_PARTS - MARGIN_MICROS;
    this.answerPeriodMicros = Math.max(0, answerPeriodMicros(settings));
    this.replica = replica;
  }

  private static long answerPeriodMicros(Settings settings) {
    long cancel = settings.workerTimings().cancelMicros();
    return cancel - settings.workerTimings().leaseMicros() - cancel / DRIFT_PARTS - TASK_END_MICROS;
  }

  /**
   * Whether the settings leave room for the bounds: a leader must be able to answer heartbeats for
   * at least as long as its own lease lasts, else it would stop its workers between two renewals.
   */
  public static boolean boundsHold(Settings settings) {
    return answerPeriodMicros(settings) >= settings.tuning().leaderTtlMicros();
  }

  /** The lease was granted or renewed by a request sent then. */
  public void renewed(long sentMicros) {
    renewedMicros = sentMicros;
  }

  long renewedMicros() {
    return renewedMicros;
  }

  /** The replica holds every change made up to this time. */
  long replicaCurrentMicros() {
    return replica.freshAsOfMicros();
  }

  /**
   * Until when no other node can lead: bounds what is durable or fenced, such as requests to the
   * cloud.
   */
  public long leaseEndMicros() {
    return renewedMicros + leaseMicros;
  }

  /**
   * Until when it may launch: while no other node can lead, and while the replica is no older than
   * the lease may be. What was cancelled elsewhere longer ago is never started. A launch may be
   * part of an answer, so no longer than answers may be sent.
   */
  public long launchEndMicros() {
    long provenMicros = Math.min(renewedMicros, replicaCurrentMicros());
    return Math.min(provenMicros + leaseMicros, answerEndMicros());
  }

  /**
   * Until when it may answer heartbeats, which renews workers' leases: workers that were last
   * answered without a kill lose them, and with them the tasks of every job cancelled unknown to
   * this node, within {@code cancel_s} of the cancellation.
   */
  public long answerEndMicros() {
    return replicaCurrentMicros() + answerPeriodMicros;
  }
}
