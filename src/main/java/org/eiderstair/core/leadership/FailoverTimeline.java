package org.eiderstair.core.leadership;

import org.eiderstair.core.message.EffectSink;

/**
 * How a term began, for one line in the log: where the time between the election and ordinary work
 * went.
 */
public final class FailoverTimeline {

  /**
   * CATCHING_UP reads what the term before wrote last. HEARING hears the machines that were in the
   * roster; older work waits unless all that may be on them is known from the standby's picture.
   * WHOLE has heard each of them, or had proof that it is gone.
   */
  enum Phase {
    CATCHING_UP,
    HEARING,
    WHOLE
  }

  private static final long NEVER = -1;

  private final EffectSink sink;
  private final long term;
  private final long electedMicros;
  private Phase phase = Phase.CATCHING_UP;
  private int machines;
  private boolean recovered;
  private long caughtUpMicros = NEVER;
  private long halfMicros = NEVER;
  private long maxMicros = NEVER;
  private long launchedMicros = NEVER;

  public FailoverTimeline(EffectSink sink, long term, long electedMicros) {
    this.sink = sink;
    this.term = term;
    this.electedMicros = electedMicros;
  }

  Phase phase() {
    return phase;
  }

  /** The one function for every change of phase. */
  private void become(Phase next, long nowMicros) {
    phase = next;
    if (next == Phase.WHOLE) {
      sink.info(
          "take-over WHOLE, term="
              + term
              + ": "
              + machines
              + " machines"
              + (recovered ? " known from the standby's picture" : "")
              + "; ms after the election: caught up "
              + since(caughtUpMicros)
              + ", first launch "
              + since(launchedMicros)
              + ", half heard "
              + since(halfMicros)
              + ", 95% heard "
              + since(maxMicros)
              + ", all heard or gone "
              + since(nowMicros));
    }
  }

  private String since(long micros) {
    return micros == NEVER ? "not yet" : String.valueOf((micros - electedMicros) / 1000);
  }

  /** The replica holds everything up to the election. */
  public void replicaCaughtUp(int unconfirmed, boolean withPicture, long nowMicros) {
    machines = unconfirmed;
    recovered = withPicture;
    caughtUpMicros = nowMicros;
    become(Phase.HEARING, nowMicros);
    unconfirmedMachines(unconfirmed, nowMicros);
  }

  /** So many machines have not been heard yet. */
  public void unconfirmedMachines(int left, long nowMicros) {
    if (phase != Phase.HEARING) {
      return;
    }
    if (halfMicros == NEVER && left * 2 <= machines) {
      halfMicros = nowMicros;
    }
    if (maxMicros == NEVER && left * 20L <= machines) {
      maxMicros = nowMicros;
    }
    if (left == 0) {
      become(Phase.WHOLE, nowMicros);
    }
  }

  /** A first task was launched. */
  public void taskLaunched(long nowMicros) {
    if (launchedMicros == NEVER) {
      launchedMicros = nowMicros;
    }
  }
}
