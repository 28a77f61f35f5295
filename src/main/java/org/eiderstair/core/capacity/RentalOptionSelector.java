package org.eiderstair.core.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.provisioning.RentalOption;
import org.eiderstair.core.state.Replica;

/** Chooses what to rent for a job, and remembers what the cloud could not provide lately. */
final class RentalOptionSelector {
  private static final long EXHAUSTED_PAUSE_MICROS = 15_000_000;

  /** Added to the price in a partitioned zone; above every price. */
  private static final double PARTITIONED_ZONE_PRICE = 1e9;

  private static final double PRICE_TOLERANCE = 1e-9;
  private static final double MIN_CPUS = 0.01;
  private static final boolean[] SPOT_THEN_ON_DEMAND = {true, false};

  private final Replica replica;
  private final Membership membership;
  private final CapacityClock clock;
  private final Map<RentalOption, Long> exhaustedUntil = new HashMap<>();

  RentalOptionSelector(Replica replica, Membership membership, CapacityClock clock) {
    this.replica = replica;
    this.membership = membership;
    this.clock = clock;
  }

  /**
   * A rental option with the type that it names.
   *
   * @param price for each processor and hour, in a partitioned zone raised above all others
   */
  record Candidate(RentalOption option, MachineType type, double price) {}

  /** The cloud could not provide the option; it is not chosen for a while. */
  void markExhausted(RentalOption option) {
    exhaustedUntil.put(option, clock.nowMicros() + EXHAUSTED_PAUSE_MICROS);
  }

  /** The cloud may have machines of the option again. */
  void clearExhausted(RentalOption option) {
    exhaustedUntil.remove(option);
  }

  /**
   * The cheapest option per processor that the job may use and that is not exhausted; among equally
   * cheap ones that in the zone with the fewest machines.
   */
  Optional<Candidate> select(JobSpec spec, Map<String, Integer> machinesByZone) {
    Candidate best = null;
    for (MachineType type : replica.catalog()) {
      if (!type.fits(spec)) {
        continue;
      }
      for (String zone : type.zones()) {
        for (boolean spot : SPOT_THEN_ON_DEMAND) {
          if (isAvailable(spec, type, zone, spot)) {
            Candidate candidate = candidate(type, zone, spot);
            best = best == null || isBetter(candidate, best, machinesByZone) ? candidate : best;
          }
        }
      }
    }
    return Optional.ofNullable(best);
  }

  private boolean isAvailable(JobSpec spec, MachineType type, String zone, boolean spot) {
    RentalOption option = new RentalOption(type.name(), zone, spot);
    return spec.allows(type.name(), zone, spot)
        && (!spot || type.spotPricePerHour() > 0)
        && clock.nowMicros() >= exhaustedUntil.getOrDefault(option, 0L);
  }

  private Candidate candidate(MachineType type, String zone, boolean spot) {
    double price =
        (spot ? type.spotPricePerHour() : type.pricePerHour()) / Math.max(type.cpus(), MIN_CPUS);
    // A machine that boots in a partitioned zone is paid for but cannot be used yet, so such a zone
    // comes last.
    price += membership.isPartitioned(zone) ? PARTITIONED_ZONE_PRICE : 0;
    return new Candidate(new RentalOption(type.name(), zone, spot), type, price);
  }

  private boolean isBetter(
      Candidate candidate, Candidate best, Map<String, Integer> machinesByZone) {
    if (candidate.price() < best.price() - PRICE_TOLERANCE) {
      return true;
    }
    return candidate.price() < best.price() + PRICE_TOLERANCE
        && machinesIn(candidate, machinesByZone) < machinesIn(best, machinesByZone);
  }

  private static int machinesIn(Candidate candidate, Map<String, Integer> machinesByZone) {
    return machinesByZone.getOrDefault(candidate.option().zone(), 0);
  }
}
