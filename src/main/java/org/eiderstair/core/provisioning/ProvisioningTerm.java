package org.eiderstair.core.provisioning;

/** What rentals and releases of one term share: its number, its phase, the time and its names. */
final class ProvisioningTerm {
  /**
   * RECOVERING finishes what earlier terms left open, and may rent and release at the same time.
   * ACTIVE has nothing of theirs left. CLOSED decides nothing more, as another leader may be at
   * work.
   */
  enum Phase {
    RECOVERING,
    ACTIVE,
    CLOSED
  }

  private final ProvisioningHost host;
  private final long term;
  private final long dayOffsetMicros;
  private Phase phase = Phase.RECOVERING;
  private long beganMicros;
  private long nowMicros;
  private long lastNumber;

  /**
   * @param dayOffsetMicros the time of day less the steady time
   */
  ProvisioningTerm(ProvisioningHost host, long term, long dayOffsetMicros) {
    this.host = host;
    this.term = term;
    this.dayOffsetMicros = dayOffsetMicros;
  }

  ProvisioningHost host() {
    return host;
  }

  long number() {
    return term;
  }

  void begin(long nowMicros) {
    this.nowMicros = nowMicros;
    beganMicros = nowMicros;
  }

  /** Sets the time at which what follows happens. */
  void advanceTo(long nowMicros) {
    this.nowMicros = nowMicros;
  }

  long nowMicros() {
    return nowMicros;
  }

  long timeOfDayMicros() {
    return nowMicros + dayOffsetMicros;
  }

  boolean isRecovering() {
    return phase == Phase.RECOVERING;
  }

  boolean isClosed() {
    return phase == Phase.CLOSED;
  }

  /** The one function for every change of phase. */
  void transition(Phase next, String summary) {
    host.info(
        "provisioning "
            + phase
            + " -> "
            + next
            + ", term="
            + term
            + ", after "
            + (nowMicros - beganMicros) / 1000
            + " ms: "
            + summary);
    phase = next;
  }

  /** A name that no other rental or release of any term has. */
  String nextName() {
    return term + "-" + ++lastNumber;
  }
}
