package org.eiderstair.core.provisioning;

import java.util.SortedMap;
import org.eiderstair.core.record.ReleaseRecord;
import org.eiderstair.core.record.RentalIntentRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.record.UnreadableValue;

/** Reads and writes the records of open rentals and releases in the state service. */
final class ProvisioningRecords {
  private static final Runnable NO_OP = () -> {};

  private final ProvisioningHost host;
  private final long term;

  ProvisioningRecords(ProvisioningHost host, long term) {
    this.host = host;
    this.term = term;
  }

  /** Passes each record to the rentals or releases that resume it, in key order. */
  void read(
      SortedMap<String, StoredValue> records, RentalIntents rentals, MachineReleases releases) {
    records.forEach(
        (key, value) -> {
          try {
            read(key, value, rentals, releases);
          } catch (RuntimeException e) {
            // If the exception stopped this leader, the record would also stop each successor.
            logUnreadable(key, e.getMessage());
          }
        });
  }

  private void read(
      String key, StoredValue value, RentalIntents rentals, MachineReleases releases) {
    if (value instanceof RentalIntentRecord rental) {
      rentals.resume(RentalIntent.of(StateKeys.Kind.RENTAL.idOf(key), rental));
    } else if (value instanceof ReleaseRecord release) {
      releases.resume(MachineRelease.of(StateKeys.Kind.RELEASE.idOf(key), release));
    } else if (value instanceof UnreadableValue unreadable && isProvisioningKey(key)) {
      logUnreadable(key, unreadable.problem());
    }
  }

  private static boolean isProvisioningKey(String key) {
    StateKeys.Kind kind = StateKeys.kindOf(key);
    return kind == StateKeys.Kind.RENTAL || kind == StateKeys.Kind.RELEASE;
  }

  private void logUnreadable(String key, String problem) {
    host.error(
        "provisioning record is unreadable and stays unchanged: key="
            + key
            + " term="
            + term
            + ": "
            + problem);
  }

  void write(RentalIntent rental) {
    write(rental, NO_OP);
  }

  void write(RentalIntent rental, Runnable onDurable) {
    host.put(StateKeys.rental(rental.requestId()), rental.record(), onDurable);
  }

  void remove(RentalIntent rental) {
    host.remove(StateKeys.rental(rental.requestId()));
  }

  void write(MachineRelease release, Runnable onDurable) {
    host.put(StateKeys.release(release.name()), release.record(), onDurable);
  }

  void remove(MachineRelease release) {
    host.remove(StateKeys.release(release.name()));
  }
}
