package org.eiderstair.core.capacity;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.provisioning.RentalOption;
import org.eiderstair.core.state.Replica;

/**
 * Chooses the rental option for a job, and skips options that the cloud recently could not provide.
 */
final class RentalOptionSelector {
  /** Time for which an exhausted option is not chosen. */
  private static final long EXHAUSTED_PAUSE_MICROS = 15_000_000;

  /** Penalty added to prices in a partitioned zone; larger than any price. */
  private static final double PARTITIONED_ZONE_PENALTY = 1e9;

  /** Prices that differ by less than this are equal. */
  private static final double PRICE_TOLERANCE = 1e-9;

  /** Lower bound of the CPUs of a machine type, which prevents a division by zero. */
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
   * A rental option with its machine type.
   *
   * @param price the price per CPU and hour, plus the penalty in a partitioned zone
   */
  record Candidate(RentalOption option, MachineType type, double price) {}

  /** Excludes an option for a limited time, because the cloud could not provide its machines. */
  void markExhausted(RentalOption option) {
    exhaustedUntil.put(option, clock.nowMicros() + EXHAUSTED_PAUSE_MICROS);
  }

  /** Allows an option again, because the cloud may have its machines again. */
  void clearExhausted(RentalOption option) {
    exhaustedUntil.remove(option);
  }

  /**
   * Returns the option with the lowest price per CPU that the job may use and that is not
   * exhausted. Among equal prices, the zone with the fewest machines is chosen. The result is empty
   * if no option is available.
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
    // A machine in a partitioned zone costs money but cannot be used yet, so partitioned zones are
    // chosen last.
    price += membership.isPartitioned(zone) ? PARTITIONED_ZONE_PENALTY : 0;
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
