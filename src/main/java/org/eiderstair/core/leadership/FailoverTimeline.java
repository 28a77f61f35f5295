package org.eiderstair.core.leadership;

import java.util.OptionalLong;
import org.eiderstair.core.message.EffectSink;

/**
 * Records the progress of a failover and logs one summary line when it is complete. The line tells
 * how long after the election each step took place. One instance serves one term.
 */
public final class FailoverTimeline {

  /** The phase of a failover. */
  enum Phase {
    /** The new leader reads what the previous term wrote last. */
    SYNCHRONIZING,
    /**
     * The new leader waits for heartbeats of the registered machines. Older work waits during this
     * phase, unless the standby's replica shows everything that may be on the machines.
     */
    RECONCILING,
    /** Every registered machine has sent a heartbeat, or is proven to be terminated. */
    COMPLETE
  }

  /** At most one machine in this many is unconfirmed once half of the machines are confirmed. */
  private static final int HALF_DIVISOR = 2;

  /** At most one machine in this many is unconfirmed once 95% of the machines are confirmed. */
  private static final int TWENTIETH_DIVISOR = 20;

  private final EffectSink sink;
  private final long term;
  private final long electedMicros;
  private Phase phase = Phase.SYNCHRONIZING;
  private int machines;
  private boolean fromStandbyReplica;
  private OptionalLong synchronizedMicros = OptionalLong.empty();
  private OptionalLong halfConfirmedMicros = OptionalLong.empty();
  private OptionalLong nearlyAllConfirmedMicros = OptionalLong.empty();
  private OptionalLong firstLaunchMicros = OptionalLong.empty();

  /**
   * Starts the timeline of a failover.
   *
   * @param term the term of the new leader
   * @param electedMicros when this node was elected
   */
  public FailoverTimeline(EffectSink sink, long term, long electedMicros) {
    this.sink = sink;
    this.term = term;
    this.electedMicros = electedMicros;
  }

  /** Changes the phase. All phase changes go through this method. */
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
            + (fromStandbyReplica ? " known from the standby's replica" : "")
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
   * Records that the replica holds every change up to the election.
   *
   * @param unconfirmed the number of registered machines without a heartbeat in this term
   * @param recoveredFromStandbyReplica whether this node was the standby in sync of the previous
   *     term
   */
  public void replicaCaughtUp(
      int unconfirmed, boolean recoveredFromStandbyReplica, long nowMicros) {
    machines = unconfirmed;
    fromStandbyReplica = recoveredFromStandbyReplica;
    synchronizedMicros = OptionalLong.of(nowMicros);
    transitionTo(Phase.RECONCILING, nowMicros);
    unconfirmedMachinesChanged(unconfirmed, nowMicros);
  }

  /**
   * Records the number of registered machines without a heartbeat in this term. Calls outside
   * {@link Phase#RECONCILING} have no effect.
   */
  public void unconfirmedMachinesChanged(int unconfirmed, long nowMicros) {
    if (phase != Phase.RECONCILING) {
      return;
    }
    if (halfConfirmedMicros.isEmpty() && isAtMostOneIn(HALF_DIVISOR, unconfirmed)) {
      halfConfirmedMicros = OptionalLong.of(nowMicros);
    }
    if (nearlyAllConfirmedMicros.isEmpty() && isAtMostOneIn(TWENTIETH_DIVISOR, unconfirmed)) {
      nearlyAllConfirmedMicros = OptionalLong.of(nowMicros);
    }
    if (unconfirmed == 0) {
      transitionTo(Phase.COMPLETE, nowMicros);
    }
  }

  private boolean isAtMostOneIn(int divisor, int unconfirmed) {
    return (long) unconfirmed * divisor <= machines;
  }

  /** Records the launch of a task. Only the first launch of the term is kept. */
  public void taskLaunched(long nowMicros) {
    if (firstLaunchMicros.isEmpty()) {
      firstLaunchMicros = OptionalLong.of(nowMicros);
    }
  }
}
