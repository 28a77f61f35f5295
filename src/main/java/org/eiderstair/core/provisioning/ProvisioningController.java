package org.eiderstair.core.provisioning;

import java.util.List;
import java.util.SortedMap;
import org.eiderstair.core.record.StoredValue;

/**
 * Rents and releases machines; only the leader may. The cloud knows no fencing tokens, so what
 * fences a leader that was replaced is written under the leader key before the cloud is asked: the
 * id of a rental request, which is never used for another, and a release record that names each
 * machine to be deleted. docs/duties.md weighs the alternatives.
 */
public final class ProvisioningController {
  private final ProvisioningTerm term;
  private final ProvisioningHost host;
  private final ProvisioningRecords records;
  private final RentalIntents rentals;
  private final MachineReleases releases;

  /**
   * @param term the leader's term
   * @param tombstoneMicros how long a release record outlives its machines, since old lists of the
   *     cloud may still show them
   * @param dayOffsetMicros the time of day less the steady time
   */
  public ProvisioningController(
      ProvisioningHost host, long term, long tombstoneMicros, long dayOffsetMicros) {
    this.host = host;
    this.term = new ProvisioningTerm(host, term, dayOffsetMicros);
    this.records = new ProvisioningRecords(host, term);
    this.releases =
        new MachineReleases(
            this.term, records, tombstoneMicros, this::machineTerminated, this::checkRecovered);
    this.rentals =
        new RentalIntents(this.term, records, releases::isReleasing, this::checkRecovered);
  }

  /**
   * Takes over what earlier terms left open.
   *
   * @param stored their records by key; one that cannot be read is passed over
   */
  public void resume(SortedMap<String, StoredValue> stored, long nowMicros) {
    term.begin(nowMicros);
    records.read(stored, rentals, releases);
    host.info("provisioning RECOVERING, term=" + term.number() + ": of earlier terms " + summary());
    checkRecovered();
  }

  /** The term is over: nothing more is decided or asked for. */
  public void close() {
    if (!term.isClosed()) {
      term.transition(ProvisioningTerm.Phase.CLOSED, summary());
    }
  }

  /** How many rentals and releases are open, for the log. */
  public String summary() {
    return "rentals=" + rentals.openCount() + " releases=" + releases.openCount();
  }

  /** Rents machines; the cloud is asked as soon as the intent is durable. */
  public void scaleOut(RentalOption option, int count) {
    rentals.decide(option, count);
  }

  /**
   * Rentals whose machines are not known yet, to be counted as if they were booting.
   *
   * @return in the order in which they were decided, those of earlier terms first
   */
  public List<RentalRequest> pendingRentals() {
    return rentals.pending();
  }

  /** The machine is durably registered, so no successor needs its rental to know of it. */
  public void machineRegistered(String machine) {
    rentals.machineSettled(machine);
  }

  /** Releases a machine; the cloud is asked as soon as the record that names it is durable. */
  public void scaleIn(String machine) {
    releases.decide(machine);
  }

  /** Whether a machine is being released, or is about to be: nothing may be placed on it. */
  public boolean isReleasing(String machine) {
    return releases.isReleasing(machine);
  }

  /**
   * Keeps a machine after all, if no request that could delete it may be on its way. It may be used
   * again once {@link ProvisioningHost#releaseCancelled} is called for it.
   *
   * @return whether the release could be cancelled
   */
  public boolean cancelScaleIn(String machine) {
    return releases.cancel(machine);
  }

  /** Asks the cloud for what is durable and due, and settles what has been answered. */
  public void tick(long nowMicros) {
    term.advanceTo(nowMicros);
    if (term.isClosed()) {
      return;
    }
    releases.writeDecided();
    releases.advance();
    rentals.requestDue();
  }

  private void machineTerminated(String machine) {
    host.machineTerminated(machine);
    rentals.machineTerminated(machine);
  }

  private void checkRecovered() {
    if (term.isRecovering()
        && rentals.earlierTermsRecovered()
        && releases.earlierTermsRecovered()) {
      term.transition(ProvisioningTerm.Phase.ACTIVE, summary());
    }
  }
}
