package org.eiderstair.core.provisioning;

/**
 * The state that the rentals and releases of one term share: the term number, the phase, the
 * current time and the source of unique names.
 */
final class ProvisioningTerm {
  /** The phase of a term. */
  enum Phase {
    /** Finishes open rentals and releases of earlier terms. New ones are already allowed. */
    RECOVERING,

    /** Every rental and release of earlier terms is recovered. */
    ACTIVE,

    /** Makes no further decisions, because another leader may be active. */
    CLOSED
  }

  private final ProvisioningHost host;
  private final long term;
  private final long wallClockOffsetMicros;
  private Phase phase = Phase.RECOVERING;
  private long startedMicros;
  private long nowMicros;
  private long lastNumber;

  /**
   * @param wallClockOffsetMicros the wall-clock time minus the monotonic time
   */
  ProvisioningTerm(ProvisioningHost host, long term, long wallClockOffsetMicros) {
    this.host = host;
    this.term = term;
    this.wallClockOffsetMicros = wallClockOffsetMicros;
  }

  ProvisioningHost host() {
    return host;
  }

  long number() {
    return term;
  }

  void start(long nowMicros) {
    this.nowMicros = nowMicros;
    startedMicros = nowMicros;
  }

  /** Sets the current time for the operations that follow. */
  void advanceTo(long nowMicros) {
    this.nowMicros = nowMicros;
  }

  long nowMicros() {
    return nowMicros;
  }

  long wallClockMicros() {
    return nowMicros + wallClockOffsetMicros;
  }

  boolean isRecovering() {
    return phase == Phase.RECOVERING;
  }

  boolean isClosed() {
    return phase == Phase.CLOSED;
  }

  /** Changes the phase and logs the change. */
  void transition(Phase next, String summary) {
    host.info(
        "provisioning "
            + phase
            + " -> "
            + next
            + ", term="
            + term
            + ", after "
            + (nowMicros - startedMicros) / 1000
            + " ms: "
            + summary);
    phase = next;
  }

  /** Returns a name that is unique among the rentals and releases of all terms. */
  String nextName() {
    return term + "-" + ++lastNumber;
  }
}
