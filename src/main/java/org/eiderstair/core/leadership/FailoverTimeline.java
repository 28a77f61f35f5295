package org.eiderstair.core.leadership;

import java.util.OptionalLong;
import org.eiderstair.core.message.EffectSink;

/**
 * How a term began: where the time between the election and ordinary work went, for one line in the
 * log.
 */
public final class FailoverTimeline {

  /** How far the new leader has come. */
  enum Phase {
    /** Reads what the term before wrote last. */
    SYNCHRONIZING,
    /**
     * Waits for heartbeats of the registered machines. Older work waits meanwhile, unless the
     * standby's replica shows all that may be on them.
     */
    RECONCILING,
    /** Every registered machine has sent a heartbeat, or is proven to be terminated. */
    COMPLETE
  }

  /** Reciprocals of the parts of the machines whose confirmation is timed. */
  private static final int HALF = 2;

  private static final int TWENTIETH = 20;

  private final EffectSink sink;
  private final long term;
  private final long electedMicros;
  private Phase phase = Phase.SYNCHRONIZING;
  private int machines;
  private boolean fromStandby;
  private OptionalLong synchronizedMicros = OptionalLong.empty();
  private OptionalLong halfConfirmedMicros = OptionalLong.empty();
  private OptionalLong nearlyAllConfirmedMicros = OptionalLong.empty();
  private OptionalLong firstLaunchMicros = OptionalLong.empty();

  public FailoverTimeline(EffectSink sink, long term, long electedMicros) {
    this.sink = sink;
    this.term = term;
    this.electedMicros = electedMicros;
  }

  /** The one function for every change of phase. */
  private void transitionTo(Phase next, long nowMicros) {
    phase = next;
    if (next == Phase.COMPLETE) {
      logSummary(nowMicros);
    }
  }

  private void logSummary(long nowMicros) {
    sink.info(
        "failover COMPLETE, term="
            + term
            + ": "
            + machines
            + " machines"
            + (fromStandby ? " known from the standby's replica" : "")
            + "; ms after the election: synchronized "
            + sinceElection(synchronizedMicros)
            + ", first launch "
            + sinceElection(firstLaunchMicros)
            + ", half confirmed "
            + sinceElection(halfConfirmedMicros)
            + ", 95% confirmed "
            + sinceElection(nearlyAllConfirmedMicros)
            + ", all confirmed or terminated "
            + sinceElection(OptionalLong.of(nowMicros)));
  }

  private String sinceElection(OptionalLong micros) {
    return micros.isEmpty()
        ? "not yet"
        : String.valueOf((micros.getAsLong() - electedMicros) / 1000);
  }

  /**
   * The replica holds everything up to the election.
   *
   * @param unconfirmed registered machines without a heartbeat in this term
   * @param withStandby whether this node was the standby in sync of the term before
   */
  public void replicaCaughtUp(int unconfirmed, boolean withStandby, long nowMicros) {
    machines = unconfirmed;
    fromStandby = withStandby;
    synchronizedMicros = OptionalLong.of(nowMicros);
    transitionTo(Phase.RECONCILING, nowMicros);
    unconfirmedMachines(unconfirmed, nowMicros);
  }

  /** So many registered machines are still without a heartbeat in this term. */
  public void unconfirmedMachines(int unconfirmed, long nowMicros) {
    if (phase != Phase.RECONCILING) {
      return;
    }
    if (halfConfirmedMicros.isEmpty() && atMostOneIn(HALF, unconfirmed)) {
      halfConfirmedMicros = OptionalLong.of(nowMicros);
    }
    if (nearlyAllConfirmedMicros.isEmpty() && atMostOneIn(TWENTIETH, unconfirmed)) {
      nearlyAllConfirmedMicros = OptionalLong.of(nowMicros);
    }
    if (unconfirmed == 0) {
      transitionTo(Phase.COMPLETE, nowMicros);
    }
  }

  private boolean atMostOneIn(int parts, int unconfirmed) {
    return (long) unconfirmed * parts <= machines;
  }

  /** A task was launched. */
  public void taskLaunched(long nowMicros) {
    if (firstLaunchMicros.isEmpty()) {
      firstLaunchMicros = OptionalLong.of(nowMicros);
    }
  }
}
