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
 * Stand-ins for machines that are being rented and have no names yet. They count as booting, so
 * that nothing is rented twice.
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

  /** How many rentals have stand-ins. */
  int rentalCount() {
    return byRequestId.size();
  }

  /**
   * The stand-ins of a rental. A rental of an earlier term may be of a type that the cloud no
   * longer offers; it has none, as a failure here would end one leader after another.
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
        rental.requestId(), requestId -> standIns(rental, type.get()));
  }

  private List<Machine> standIns(RentalRequest rental, MachineType type) {
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

  /** The rental is over, or its machines have names now. */
  void forget(RentalRequest rental) {
    byRequestId.remove(rental.requestId());
  }
}
