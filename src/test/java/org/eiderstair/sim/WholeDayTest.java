package org.eiderstair.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntFunction;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Order;

/** Runs whole days with random outages and checks every rule. */
class WholeDayTest {
  private static final int DAYS = Integer.getInteger("sim.days", 60);
  private static final int GROWN_DAYS = Integer.getInteger("sim.grown", 3);
  private static final int FLEET_DAYS = Integer.getInteger("sim.fleet", 2);
  private static final int FULL_DAYS = Integer.getInteger("sim.full", 0);
  private static final long FIRST_SEED = Long.getLong("sim.first", 1);

  @Example
  void everyRuleHoldsUnderRandomOutagesAndAllWorkIsCompleted() {
    List<String> failures = new ArrayList<>();
    for (long seed = FIRST_SEED; seed < FIRST_SEED + DAYS; seed++) {
      SimulatedCluster day = SimulatedDay.playSmall(seed);
      if (!day.rules.violations().isEmpty()
          || !day.users.unfinishedJobs().isEmpty()
          || day.tasks.startCount() == 0) {
        failures.add(
            "seed "
                + seed
                + ": "
                + day.rules.violations().stream().limit(2).toList()
                + " unfinished "
                + day.users.unfinishedJobs());
      }
      assertTrue(
          day.state.maxWrites() <= 12, "transaction with " + day.state.maxWrites() + " writes");
    }
    assertEquals(List.of(), failures);
  }

  @Example
  void everyRuleHoldsAtTheGrownSize() {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + GROWN_DAYS; seed++) {
      SimulatedCluster day = SimulatedDay.play(seed, ClusterSize.GROWN);
      assertEquals(List.of(), day.rules.violations(), "seed " + seed);
      assertEquals(List.of(), day.users.unfinishedJobs(), "seed " + seed);
      assertTrue(
          day.tasks.startCount() > 1000, "seed " + seed + " started " + day.tasks.startCount());
    }
  }

  /**
   * Runs days with half as many machines again as the largest deployment had at first, with three
   * and with five controllers.
   */
  @Example
  void everyRuleHoldsAtTheFleetSizeAndNoJobStarves() {
    assertDaysKeepEveryRule(FLEET_DAYS, ClusterSize::fleet);
  }

  /** Runs whole days with 4,000 machines; only by hand, with {@code -Dsim.full=2} for two days. */
  @Example
  void everyRuleHoldsAtTheFullSizeAndNoJobStarves() {
    assertDaysKeepEveryRule(FULL_DAYS, ClusterSize::full);
  }

  private static void assertDaysKeepEveryRule(int days, IntFunction<ClusterSize> sizeFor) {
    for (long seed = FIRST_SEED; seed < FIRST_SEED + days; seed++) {
      SimulatedCluster day = SimulatedDay.play(seed, sizeFor.apply(seed % 2 == 0 ? 3 : 5));
      assertEquals(List.of(), day.rules.violations(), "seed " + seed);
      assertEquals(List.of(), day.users.unfinishedJobs(), "seed " + seed);
      assertTrue(
          day.tasks.startCount() > 5000, "seed " + seed + " started " + day.tasks.startCount());
      assertTrue(
          day.completedShare() >= 0.5, "seed " + seed + " completed share " + day.completedShare());
    }
  }

  @Example
  void sameSeedRepeatsTheSameDay() {
    assertEquals(
        SimulatedDay.playSmall(7).tasks.startCount(), SimulatedDay.playSmall(7).tasks.startCount());
  }

  /**
   * Guards against a simulator that does not notice duplicate launches. The orders of a launch are
   * sent again with the incarnation and fencing token of a later request, and a rule must be
   * violated.
   */
  @Example
  void duplicateLaunchesAreDetected() {
    List<Request.WorkerCommands> launches = new ArrayList<>();
    boolean detected = false;
    for (long seed = 1; seed < 20 && !detected; seed++) {
      launches.clear();
      SimulatedCluster day =
          SimulatedDay.play(
              seed,
              ClusterSize.SMALL,
              cluster ->
                  cluster.defects.request = request -> withRepeatedLaunch(request, launches));
      detected =
          day.rules.violations().stream()
              .anyMatch(
                  violation ->
                      violation.rule() == Rule.RAN_TWICE || violation.rule() == Rule.RAN_CANCELLED);
    }
    assertTrue(detected, "a repeated launch violates a rule on one of the days");
    assertFalse(launches.isEmpty(), "a launch was recorded");
  }

  /**
   * Returns a request without orders with the orders of the first recorded launch; records
   * launches.
   */
  private static Request withRepeatedLaunch(
      Request request, List<Request.WorkerCommands> launches) {
    if (!(request instanceof Request.WorkerCommands commands)) {
      return request;
    }
    if (commands.orders().stream().anyMatch(order -> order instanceof Order.Launch)) {
      launches.add(commands);
    }
    if (launches.isEmpty() || !commands.orders().isEmpty()) {
      return request;
    }
    return new Request.WorkerCommands(
        commands.address(),
        commands.fencingToken(),
        commands.incarnation(),
        launches.get(0).orders());
  }
}
