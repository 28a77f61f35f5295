package org.eiderstair.core.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.provisioning.RentalOption;
import org.eiderstair.core.record.CatalogRecord;
import org.eiderstair.core.record.StateKeys;

/** Tests the choice of a rental option by price, zone and recent refusals of the cloud. */
class RentalOptionSelectorTest {
  private static final long SECOND = 1_000_000;

  /** Costs 0.2 per CPU on demand and 0.05 per CPU as spot. */
  private static final MachineType LARGE =
      new MachineType("large", 16, 0, 64, 10, 1, 3.2, 0.8, 30 * SECOND, List.of("a", "b", "c"));

  /** Costs 0.1 per CPU on demand and has no spot price. */
  private static final MachineType SMALL =
      new MachineType("small", 4, 0, 16, 10, 1, 0.4, 0, 30 * SECOND, List.of("a", "b"));

  private final LeaderFixture leader = new LeaderFixture();
  private final CapacityClock clock = new CapacityClock();
  private final Membership membership = LeaderFixture.membershipWithoutPeers();
  private final RentalOptionSelector selector =
      new RentalOptionSelector(leader.replica, membership, clock);

  RentalOptionSelectorTest() {
    leader.replica.apply(
        new Reply.Item(StateKeys.CATALOG, new CatalogRecord(List.of(SMALL, LARGE)), 50));
  }

  private static JobSpec job(double cpus, boolean spotAllowed, String zone) {
    return new JobSpec(
        "j",
        "c",
        "blue",
        JobSpec.Shape.ARRAY,
        JobSpec.Priority.NORMAL,
        1,
        cpus,
        0,
        1,
        "img",
        1,
        null,
        zone,
        false,
        false,
        spotAllowed,
        20 * SECOND,
        0,
        0,
        JobSpec.NO_DEADLINE);
  }

  private Optional<RentalOption> select(JobSpec spec, Map<String, Integer> machinesByZone) {
    return selector.select(spec, machinesByZone).map(RentalOptionSelector.Candidate::option);
  }

  @Example
  void theCheapestOptionPerCpuIsChosen() {
    assertEquals(
        Optional.of(new RentalOption("large", "a", true)), select(job(2, true, null), Map.of()));
  }

  @Example
  void aJobThatMayNotUseSpotMachinesGetsTheCheapestOnDemandOption() {
    assertEquals(
        Optional.of(new RentalOption("small", "a", false)), select(job(2, false, null), Map.of()));
    assertEquals(
        Optional.of(new RentalOption("large", "a", false)),
        select(job(8, false, null), Map.of()),
        "the cheaper type is too small");
  }

  @Example
  void amongEquallyCheapOptionsTheZoneWithTheFewestMachinesIsChosen() {
    assertEquals(
        Optional.of(new RentalOption("large", "c", true)),
        select(job(2, true, null), Map.of("a", 3, "b", 2, "c", 1)));
    assertEquals(
        Optional.of(new RentalOption("large", "b", true)),
        select(job(2, true, null), Map.of("a", 3, "b", 1, "c", 1)),
        "the first of several zones with the fewest machines");
    assertEquals(
        Optional.of(new RentalOption("large", "a", true)),
        select(job(2, true, "a"), Map.of("a", 3, "b", 2, "c", 1)),
        "the zone that the job requires");
  }

  @Example
  void anExhaustedOptionIsNotChosenForAWhileUnlessItIsCleared() {
    JobSpec spec = job(2, true, "a");
    RentalOption spot = new RentalOption("large", "a", true);
    clock.advanceTo(100 * SECOND);
    selector.markExhausted(spot);
    assertEquals(
        Optional.of(new RentalOption("small", "a", false)),
        select(spec, Map.of()),
        "the next cheapest option");
    clock.advanceTo(115 * SECOND - 1);
    assertEquals(Optional.of(new RentalOption("small", "a", false)), select(spec, Map.of()));
    clock.advanceTo(115 * SECOND);
    assertEquals(Optional.of(spot), select(spec, Map.of()));
    selector.markExhausted(spot);
    selector.clearExhausted(spot);
    assertEquals(Optional.of(spot), select(spec, Map.of()));
  }

  @Example
  void noOptionIsChosenForAJobThatFitsNoMachineType() {
    assertEquals(Optional.empty(), select(job(17, true, null), Map.of()));
  }
}
