package org.eiderstair.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Order;

/** Whole days with drawn faults, checked against every rule. */
class WholeDayTest {
  private static final long SECOND = 1_000_000;
  private static final int DAYS = Integer.getInteger("sim.days", 60);
  private static final int GROWN_DAYS = Integer.getInteger("sim.grown", 3);
  private static final int FLEET_DAYS = Integer.getInteger("sim.fleet", 2);
  private static final long FIRST = Long.getLong("sim.first", 1);

  private static JobSpec job(SimulatedCluster day, int number) {
    boolean red = day.random.nextBoolean();
    int kind = day.random.nextInt(12);
    JobSpec.Priority priority = JobSpec.Priority.values()[day.random.nextInt(4)];
    return new JobSpec(
        String.format("job-%06d", number),
        priority.name(),
        red ? "red" : "blue",
        kind == 0 ? JobSpec.Shape.SERVICE : JobSpec.Shape.ARRAY,
        priority,
        kind == 0 ? 2 : 1 + day.random.nextInt(day.size.tasks()),
        1 + day.random.nextInt(3),
        0,
        1,
        kind == 1 ? "mistake" : "img",
        0.5,
        null,
        kind == 2 ? "b" : null,
        kind == 3 || kind == 4,
        kind == 5 || kind == 6,
        day.random.nextInt(3) > 0,
        (3 + day.random.nextInt(15)) * SECOND,
        0,
        0,
        JobSpec.NO_DEADLINE);
  }

  private static void fault(SimulatedCluster day) {
    long span = (2 + day.random.nextInt(35)) * SECOND;
    Worker worker = day.anyWorker();
    int node = day.random.nextInt(day.size.nodes());
    int kind = day.random.nextInt(24);
    day.note("fault " + kind + " for " + span / SECOND + " s, leader n" + day.leader());
    switch (kind) {
      case 0 -> day.crash(day.leader(), 3 * SECOND);
      case 1 -> day.crash(node, 3 * SECOND);
      case 2 -> {
        for (int i = 0; i < day.size.nodes(); i++) {
          day.crash(i, (3 + i) * SECOND);
        }
      }
      case 3 -> day.stateOutage(span);
      case 4 -> day.refuseOne(day.leader(), span);
      case 5 -> day.cutNodeFromState(day.leader(), span);
      case 6 -> day.cutNodeFromWorkers(day.leader(), span);
      case 7 -> day.cutNodeFromPeers(day.leader(), span);
      case 8 -> day.cloudOutage(span);
      case 9 -> {
        day.cutNodeFromState(day.leader(), span);
        day.cutNodeFromWorkers(day.leader(), span + 20 * SECOND);
      }
      case 10, 11 -> {
        if (worker != null) {
          worker.hang(span);
        }
      }
      case 12 -> {
        if (worker != null) {
          day.cutWorker(worker, span);
        }
      }
      case 13 -> {
        if (worker != null) {
          worker.sick = true;
        }
      }
      case 18 -> {
        // A rental or a return is on its way, and is answered or carried out long after the
        // take-over.
        day.cutNodeFromCloud(day.leader(), span + 20 * SECOND);
        int leader = day.leader();
        day.clock.after(span / 2, () -> day.crash(leader, 3 * SECOND));
      }
      case 19 -> day.cutZone(day.random.nextInt(3), span + 10 * SECOND);
      case 20 -> day.killMachines(50);
      case 21 -> {
        // Some are back in the middle of the election.
        for (int i = 0; i < day.size.nodes(); i++) {
          day.crash(i, SECOND / 3 + day.random.nextInt(1_000_000));
        }
      }
      case 22 -> {
        day.cutNodeFromWorkers(day.leader(), span + 10 * SECOND);
        day.cutNodeFromPeers(day.leader(), span + 10 * SECOND);
      }
      case 23 -> {
        day.cutNodeFromCloud(day.leader(), span + 20 * SECOND);
        day.stall(day.leader(), 5 * SECOND + span / 4);
      }
      case 16 -> day.stall(day.leader(), SECOND / 2 + span / 4);
      case 17 -> {
        // Long enough for another to be elected meanwhile.
        day.stall(day.leader(), 5 * SECOND + span / 4);
        day.cutNodeFromState(node, span / 2);
      }
      case 14 -> {
        if (worker != null && worker.spot) {
          day.take(worker, day.random.nextInt(2) * 6 * SECOND);
        }
      }
      default -> {
        day.stateOutage(span / 2);
        day.crash(node, 3 * SECOND);
      }
    }
  }

  static SimulatedCluster play(long seed, Consumer<SimulatedCluster.Sabotage> sabotage) {
    return play(seed, SimulatedCluster.Size.SMALL, sabotage);
  }

  static SimulatedCluster play(
      long seed, SimulatedCluster.Size size, Consumer<SimulatedCluster.Sabotage> sabotage) {
    SimulatedCluster day = loaded(seed, size, sabotage);
    int faults = 4 + day.random.nextInt(8);
    for (int i = 0; i < faults; i++) {
      day.clock.after((15 + day.random.nextInt(230)) * SECOND, () -> fault(day));
    }
    // Faults may still be going on: what came two minutes ago must be half done all the same.
    day.clock.runUntil(320 * SECOND);
    day.servedInTime = day.leastServed(200 * SECOND);
    day.clock.runUntil(600 * SECOND);
    return day;
  }

  /** A day with its users, on which nothing fails by itself. */
  static SimulatedCluster loaded(
      long seed, SimulatedCluster.Size size, Consumer<SimulatedCluster.Sabotage> sabotage) {
    SimulatedCluster day = new SimulatedCluster(seed, size, sabotage);
    for (int i = 0; i < size.jobs(); i++) {
      int number = i;
      day.clock.after(
          (3 + day.random.nextInt(200)) * SECOND,
          () -> {
            JobSpec spec = job(day, number);
            day.submit(spec);
            if (spec.shape() == JobSpec.Shape.SERVICE
                || spec.image().equals("mistake")
                || day.random.nextInt(6) == 0) {
              day.clock.after((5 + day.random.nextInt(60)) * SECOND, () -> day.cancel(spec.id()));
            }
            day.pollUnknown("job-9" + number);
          });
    }
    return day;
  }

  @Example
  void everyRuleHoldsOnDrawnDaysAndAllWorkIsDone() {
    List<String> failures = new ArrayList<>();
    for (long seed = FIRST; seed < FIRST + DAYS; seed++) {
      SimulatedCluster day = play(seed, s -> {});
      if (!day.broken.isEmpty() || !day.unfinished().isEmpty() || day.started == 0) {
        failures.add(
            "seed "
                + seed
                + ": "
                + day.broken.stream().limit(2).toList()
                + " unfinished "
                + day.unfinished());
      }
      assertTrue(day.maxWrites() <= 12, "transaction with " + day.maxWrites() + " writes");
    }
    assertEquals(List.of(), failures);
  }

  @Example
  void everyRuleHoldsAtTheGrownSize() {
    for (long seed = FIRST; seed < FIRST + GROWN_DAYS; seed++) {
      SimulatedCluster day = play(seed, SimulatedCluster.Size.GROWN, s -> {});
      assertEquals(List.of(), day.broken, "seed " + seed);
      assertEquals(List.of(), day.unfinished(), "seed " + seed);
      assertTrue(day.started > 1000, "seed " + seed + " started " + day.started);
    }
  }

  /**
   * Half as many machines again as the largest deployment, with three and with five controllers.
   */
  @Example
  void everyRuleHoldsAtTheFleetSizeAndNobodyIsLeftBehind() {
    for (long seed = FIRST; seed < FIRST + FLEET_DAYS; seed++) {
      SimulatedCluster day =
          play(seed, SimulatedCluster.Size.fleet(seed % 2 == 0 ? 3 : 5), s -> {});
      assertEquals(List.of(), day.broken, "seed " + seed);
      assertEquals(List.of(), day.unfinished(), "seed " + seed);
      assertTrue(day.started > 5000, "seed " + seed + " started " + day.started);
      assertTrue(day.servedInTime >= 0.5, "seed " + seed + " served " + day.servedInTime);
    }
  }

  @Example
  void aDayRepeatsExactly() {
    assertEquals(play(7, s -> {}).started, play(7, s -> {}).started);
  }

  /**
   * Commands without sessions and fences are what the simulator must notice: else the days above
   * prove nothing.
   */
  @Example
  void aControllerThatLaunchesTwiceIsCaught() {
    List<Request.WorkerCommands> earlier = new ArrayList<>();
    boolean caught = false;
    for (long seed = 1; seed < 20 && !caught; seed++) {
      earlier.clear();
      SimulatedCluster day =
          play(
              seed,
              s -> {
                if (s.request instanceof Request.WorkerCommands c) {
                  c.orders().stream()
                      .filter(o -> o instanceof Order.Launch)
                      .findFirst()
                      .ifPresent(o -> earlier.add(c));
                  if (!earlier.isEmpty() && c.orders().isEmpty()) {
                    s.request =
                        new Request.WorkerCommands(
                            c.address(),
                            c.fencingToken(),
                            c.incarnation(),
                            earlier.get(0).orders());
                  }
                }
              });
      caught =
          day.broken.stream().anyMatch(b -> b.contains("ran_twice") || b.contains("ran_cancelled"));
    }
    assertTrue(caught);
    assertFalse(earlier.isEmpty());
  }
}
