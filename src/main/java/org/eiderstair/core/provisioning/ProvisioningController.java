package org.eiderstair.core.provisioning;

import java.util.List;
import java.util.SortedMap;
import org.eiderstair.core.record.StoredValue;

/**
 * Rents and releases machines on behalf of the leader. The cloud does not support fencing tokens.
 * Durable records, written on condition that the leader key is held, fence a replaced leader
 * instead. Each record is durable before the cloud is called. A rental record holds a request id
 * that is never reused, and a release record names each machine to delete. See docs/duties.md for
 * the alternatives.
 */
public final class ProvisioningController {
  private final ProvisioningTerm term;
  private final ProvisioningHost host;
  private final ProvisioningRecords records;
  private final RentalIntents rentals;
  private final MachineReleases releases;

  /**
   * @param term the leader term that this instance serves
   * @param tombstoneRetentionMicros how long a release record is kept after its machines are
   *     terminated, because stale lists of the cloud may still contain them
   * @param wallClockOffsetMicros the wall-clock time minus the monotonic time
   */
  public ProvisioningController(
      ProvisioningHost host, long term, long tombstoneRetentionMicros, long wallClockOffsetMicros) {
    this.host = host;
    this.term = new ProvisioningTerm(host, term, wallClockOffsetMicros);
    this.records = new ProvisioningRecords(host, term);
    this.releases =
        new MachineReleases(
            this.term,
            records,
            tombstoneRetentionMicros,
            this::machineTerminated,
            this::checkRecovered);
    this.rentals =
        new RentalIntents(this.term, records, releases::isReleasing, this::checkRecovered);
  }

  /**
   * Takes over the open rentals and releases of earlier terms.
   *
   * @param stored their records by key; unreadable records are logged and skipped
   */
  public void resume(SortedMap<String, StoredValue> stored, long nowMicros) {
    term.start(nowMicros);
    records.read(stored, rentals, releases);
    host.info(
        "provisioning RECOVERING, term="
            + term.number()
            + ": left open by earlier terms "
            + summary());
    checkRecovered();
  }

  /** Ends the term: no further decisions are made and no further requests are sent. */
  public void close() {
    if (!term.isClosed()) {
      term.transition(ProvisioningTerm.Phase.CLOSED, summary());
    }
  }

  /** Returns the number of open rentals and releases, for the log. */
  public String summary() {
    return "rentals=" + rentals.openCount() + " releases=" + releases.openCount();
  }

  /** Rents machines; the request is sent once the rental intent is durable. */
  public void scaleOut(RentalOption option, int count) {
    rentals.decide(option, count);
  }

  /**
   * Returns the rentals whose machines are not known yet. Their machines count as booting.
   *
   * @return the rentals in the order of their decisions, those of earlier terms first
   */
  public List<RentalRequest> pendingRentals() {
    return rentals.pending();
  }

  /**
   * Records that the machine's registration is durable. A later leader then finds the machine
   * without its rental record.
   */
  public void machineRegistered(String machine) {
    rentals.machineSettled(machine);
  }

  /** Releases a machine; the deletion is requested once the record that names it is durable. */
  public void scaleIn(String machine) {
    releases.decide(machine);
  }

  /**
   * Returns whether the release of a machine is decided or in progress. No task may be placed on
   * such a machine.
   */
  public boolean isReleasing(String machine) {
    return releases.isReleasing(machine);
  }

  /**
   * Cancels the release of a machine if no deletion request for it can be in flight. The machine
   * may be used again after {@link ProvisioningHost#releaseCancelled} is called.
   *
   * @return whether the release could be cancelled
   */
  public boolean cancelScaleIn(String machine) {
    return releases.cancel(machine);
  }

  /** Writes pending records, sends the requests that are due, and settles completed releases. */
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
