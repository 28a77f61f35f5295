package org.eiderstair.core.leadership;

import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * Until when a leader may launch and until when it may answer reports: the one place for both
 * bounds. They rest on two clocks, which are two things:
 *
 * <ul>
 *   <li><em>authority</em>: when the latest renewal of its lease was sent. No other can lead before
 *       it is over;
 *   <li><em>currency</em>: when the latest request was sent whose answer shows that the picture
 *       holds every change made up to then ({@link Replica#currentMicros}). A renewed lease says
 *       nothing of the picture, nor the other way round.
 * </ul>
 *
 * A cancellation confirmed at C that this node does not know of was carried out later than its
 * currency. All times are of this node's steady clock, in microseconds. docs/design.md, "What a
 * leader may do with an old picture", has the argument.
 */
public final class LeadershipBounds {
  /** For what lies between deciding and sending, beside the drift of clocks. */
  private static final long MARGIN_MICROS = 250_000;

  /** In this time a worker whose lease is over has found that, and has ended its tasks. */
  private static final long ENDING_MICROS = 3_000_000;

  /** Clocks of two machines differ by no more than 0.05%. */
  private static final long DRIFT_PART = 2_000;

  private final long leaseMicros;
  private final long answerPeriodMicros;
  private final Replica replica;
  private long renewedMicros;

  LeadershipBounds(Settings settings, Replica replica) {
    long ttl = settings.tuning().leaderTtlMicros();
    this.leaseMicros = ttl - ttl / DRIFT_PART - MARGIN_MICROS;
    this.answerPeriodMicros = Math.max(0, answerPeriodMicros(settings));
    this.replica = replica;
  }

  private static long answerPeriodMicros(Settings settings) {
    long cancel = settings.cancelMicros();
    return cancel - settings.leaseMicros() - cancel / DRIFT_PART - ENDING_MICROS;
  }

  /**
   * Whether the bounds can hold at all: a leader must be able to answer reports for at least as
   * long as its own lease lasts, else it would stop its workers between two renewals.
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

  /** When the picture was last shown to be current. */
  long replicaCurrentMicros() {
    return replica.currentMicros();
  }

  /**
   * Until when nobody else can lead: backs what is durable or fenced, such as requests to the
   * cloud.
   */
  public long leaseEndMicros() {
    return renewedMicros + leaseMicros;
  }

  /**
   * Until when it may launch: while nobody else can lead, and while the picture is no older than a
   * lease may be. What was cancelled elsewhere longer ago is never started. A launch may ride in an
   * answer, so no longer than it may answer.
   */
  public long launchEndMicros() {
    return Math.min(
        Math.min(renewedMicros, replicaCurrentMicros()) + leaseMicros, answerEndMicros());
  }

  /**
   * Until when it may answer reports, which renews workers' leases: those that were last answered
   * without a kill lose them, and with them the tasks of every job cancelled unknown to this node,
   * within {@code cancel_s} of the cancellation.
   */
  public long answerEndMicros() {
    return replicaCurrentMicros() + answerPeriodMicros;
  }
}
