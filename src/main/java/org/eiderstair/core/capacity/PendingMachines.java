package org.eiderstair.core.capacity;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.provisioning.RentalOption;
import org.eiderstair.core.provisioning.RentalRequest;
import org.eiderstair.core.state.Replica;

/**
 * Placeholders for machines that are being rented and have no ids yet. They count as booting, so
 * that no machine is rented twice for the same demand.
 */
final class PendingMachines {
  private final Replica replica;
  private final CapacityClock clock;
  private final long term;
  private final Map<String, List<Machine>> byRequestId = new HashMap<>();

  PendingMachines(Replica replica, CapacityClock clock, long term) {
    this.replica = replica;
    this.clock = clock;
    this.term = term;
  }

  /** Returns the number of rentals that have placeholders. */
  int rentalCount() {
    return byRequestId.size();
  }

  /**
   * Returns the placeholders of a rental; empty if the catalog no longer contains its machine type.
   * A rental of an earlier term may have such a type. An exception here would stop every successive
   * leader.
   */
  List<Machine> of(RentalRequest rental) {
    Optional<MachineType> type =
        replica.catalog().stream()
            .filter(candidate -> candidate.name().equals(rental.option().type()))
            .findFirst();
    if (type.isEmpty()) {
      return List.of();
    }
    return byRequestId.computeIfAbsent(
        rental.requestId(), requestId -> createPlaceholders(rental, type.get()));
  }

  private List<Machine> createPlaceholders(RentalRequest rental, MachineType type) {
    RentalOption option = rental.option();
    List<Machine> machines = new ArrayList<>(rental.count());
    for (int i = 0; i < rental.count(); i++) {
      Machine machine =
          new Machine(rental.requestId() + "/" + i, term, Machine.Phase.BOOTING, clock.nowMicros());
      machine.describe(null, option.type(), option.zone(), option.spot());
      machine.assignType(type);
      machines.add(machine);
    }
    return machines;
  }

  /** Removes the placeholders of a rental that has ended or whose machines have ids. */
  void remove(RentalRequest rental) {
    byRequestId.remove(rental.requestId());
  }
}
