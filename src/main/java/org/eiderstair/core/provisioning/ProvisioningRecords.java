package org.eiderstair.core.provisioning;

import java.util.Map;
import java.util.TreeMap;

/** The records of open rentals and releases in the state service. */
final class ProvisioningRecords {
  private static final Runnable NOTHING = () -> {};

  private final ProvisioningHost host;
  private final long term;

  ProvisioningRecords(ProvisioningHost host, long term) {
    this.host = host;
    this.term = term;
  }

  /**
   * Gives each record to its reader, in the order of keys. One that cannot be read is logged and
   * left unchanged, as a newer version may have written it.
   */
  void read(
      Map<String, Map<String, Object>> records, RentalIntents rentals, MachineReleases releases) {
    new TreeMap<>(records)
        .forEach(
            (key, value) -> {
              try {
                if (key.startsWith(ProvisioningController.RENTAL_KEY_PREFIX)) {
                  String requestId =
                      key.substring(ProvisioningController.RENTAL_KEY_PREFIX.length());
                  rentals.resume(RentalIntent.read(requestId, value));
                } else if (key.startsWith(ProvisioningController.RELEASE_KEY_PREFIX)) {
                  String name = key.substring(ProvisioningController.RELEASE_KEY_PREFIX.length());
                  releases.resume(MachineRelease.read(name, value));
                }
              } catch (RuntimeException e) {
                host.error(
                    "unreadable provisioning record key="
                        + key
                        + ", left unchanged, term="
                        + term
                        + ": "
                        + e.getMessage());
              }
            });
  }

  void write(RentalIntent rental) {
    write(rental, NOTHING);
  }

  void write(RentalIntent rental, Runnable onDurable) {
    host.put(
        ProvisioningController.RENTAL_KEY_PREFIX + rental.requestId(), rental.record(), onDurable);
  }

  void remove(RentalIntent rental) {
    host.remove(ProvisioningController.RENTAL_KEY_PREFIX + rental.requestId());
  }

  void write(MachineRelease release, Runnable onDurable) {
    host.put(
        ProvisioningController.RELEASE_KEY_PREFIX + release.name(), release.record(), onDurable);
  }

  void remove(MachineRelease release) {
    host.remove(ProvisioningController.RELEASE_KEY_PREFIX + release.name());
  }
}
