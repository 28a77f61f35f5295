package org.eiderstair.sim;

import static org.eiderstair.sim.FaultInjector.Kind.ALL_CRASH;
import static org.eiderstair.sim.FaultInjector.Kind.ALL_DOWN_FOR_A_LEASE;
import static org.eiderstair.sim.FaultInjector.Kind.ALL_OUTBOUND_LOST;
import static org.eiderstair.sim.FaultInjector.Kind.CANCEL_NOW;
import static org.eiderstair.sim.FaultInjector.Kind.CANCEL_NOW_WITH_HANG;
import static org.eiderstair.sim.FaultInjector.Kind.CANCEL_ON_COMPLETION;
import static org.eiderstair.sim.FaultInjector.Kind.CLOUD_OUTAGE;
import static org.eiderstair.sim.FaultInjector.Kind.DUPLICATE_COMMANDS;
import static org.eiderstair.sim.FaultInjector.Kind.HEARTBEATS_KEPT_FOR_NEXT_LEADER;
import static org.eiderstair.sim.FaultInjector.Kind.IMMEDIATE_POLLS;
import static org.eiderstair.sim.FaultInjector.Kind.INBOUND_LOST;
import static org.eiderstair.sim.FaultInjector.Kind.INVALID_REQUESTS;
import static org.eiderstair.sim.FaultInjector.Kind.LATE_COMMANDS;
import static org.eiderstair.sim.FaultInjector.Kind.LATE_HEARTBEATS;
import static org.eiderstair.sim.FaultInjector.Kind.LATE_WRITES;
import static org.eiderstair.sim.FaultInjector.Kind.LEADER_CHANGES;
import static org.eiderstair.sim.FaultInjector.Kind.LEADER_CRASHES;
import static org.eiderstair.sim.FaultInjector.Kind.LEADER_PARTITIONED_FROM_STATE_AND_PEERS;
import static org.eiderstair.sim.FaultInjector.Kind.LEADER_PAUSES;
import static org.eiderstair.sim.FaultInjector.Kind.LEADER_REFUSED_ALONE;
import static org.eiderstair.sim.FaultInjector.Kind.LOST_ANSWERS;
import static org.eiderstair.sim.FaultInjector.Kind.MACHINES_DIE;
import static org.eiderstair.sim.FaultInjector.Kind.MACHINES_HANG;
import static org.eiderstair.sim.FaultInjector.Kind.MACHINES_PARTITIONED;
import static org.eiderstair.sim.FaultInjector.Kind.ONE_TASK_JOBS;
import static org.eiderstair.sim.FaultInjector.Kind.OVERLOAD;
import static org.eiderstair.sim.FaultInjector.Kind.QUICK_BOOTS;
import static org.eiderstair.sim.FaultInjector.Kind.SLOW_STATE;
import static org.eiderstair.sim.FaultInjector.Kind.STATE_OUTAGE;
import static org.eiderstair.sim.FaultInjector.Kind.UNEVEN_JOBS;
import static org.eiderstair.sim.FaultInjector.Kind.ZONE_PARTITIONED;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Predicate;
import net.jqwik.api.Example;
import org.eiderstair.core.model.JobSpec;

/**
 * Runs each scenario of docs/fault-scenarios.md on a few small days. Other seeds: {@code mvn -B
 * test -Dtest=FaultScenariosTest -Dscenario.first=100 -Dscenario.days=50}.
 */
class FaultScenariosTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long FIRST_SEED = Long.getLong("scenario.first", 1);
  private static final int DAYS = Integer.getInteger("scenario.days", 4);
  private static final int GROWN_SCENARIOS = Integer.getInteger("scenario.grown", 14);
  private static final int FLEET_SCENARIOS = Integer.getInteger("scenario.fleet", 1);
  private static final int FULL_SCENARIOS = Integer.getInteger("scenario.full", 0);

  /**
   * The scenarios that run first at the larger sizes, in this order: late commands at the limits,
   * then the seven scenarios that the users named, then others with late commands and with copies
   * of commands.
   */
  private static final List<String> PREFERRED_SCENARIOS =
      List.of("29", "16", "20", "06", "08", "04", "23", "10", "26", "27", "28", "30", "33", "34");

  /** Start of each scenario, in seconds after the start of the day. */
  private static final long START_SECONDS = 80;

  /** A fault that starts some seconds after the scenario and lasts for some seconds. */
  private record ScheduledFault(
      double afterSeconds, FaultInjector.Kind kind, double durationSeconds) {}

  private static ScheduledFault at(
      double afterSeconds, FaultInjector.Kind kind, double durationSeconds) {
    return new ScheduledFault(afterSeconds, kind, durationSeconds);
  }

  private static final Map<String, List<ScheduledFault>> SCENARIOS =
      new TreeMap<>(
          Map.ofEntries(
              Map.entry(
                  "01 jobs are cancelled while only the leader is refused, then an outage",
                  List.of(
                      at(0, LEADER_REFUSED_ALONE, 14),
                      at(0.1, CANCEL_NOW, 0),
                      at(1, STATE_OUTAGE, 40))),
              Map.entry(
                  "02 tasks that end far apart across a change of leader",
                  List.of(
                      at(-25, UNEVEN_JOBS, 0),
                      at(-10, UNEVEN_JOBS, 0),
                      at(0, LEADER_CRASHES, 0),
                      at(9, LEADER_CRASHES, 0))),
              Map.entry(
                  "03 transactions without an answer are committed late",
                  List.of(
                      at(0, LATE_WRITES, 60), at(20, LEADER_CRASHES, 0), at(30, MACHINES_DIE, 0))),
              Map.entry(
                  "04 only the answer of a transaction is lost",
                  List.of(
                      at(0, LOST_ANSWERS, 60),
                      at(0, IMMEDIATE_POLLS, 60),
                      at(1, INVALID_REQUESTS, 50),
                      at(15, CANCEL_NOW, 0))),
              Map.entry(
                  "05 more work than capacity, in all priorities",
                  List.of(at(0, OVERLOAD, 60), at(5, OVERLOAD, 60))),
              Map.entry(
                  "06 fast boots while writes are late, and the leader crashes",
                  List.of(
                      at(0, LATE_WRITES, 25),
                      at(0, QUICK_BOOTS, 25),
                      at(4, LEADER_CRASHES, 0),
                      at(12, LEADER_CRASHES, 0))),
              Map.entry(
                  "07 commands and answers are delayed for seconds",
                  List.of(
                      at(0, MACHINES_HANG, 8),
                      at(2, MACHINES_PARTITIONED, 6),
                      at(12, MACHINES_PARTITIONED, 3),
                      at(13, CANCEL_NOW, 0))),
              Map.entry(
                  "08 users poll all nodes right after an answer",
                  List.of(
                      at(-60, IMMEDIATE_POLLS, 180),
                      at(0, INVALID_REQUESTS, 60),
                      at(10, CANCEL_NOW, 0),
                      at(30, LEADER_CRASHES, 0))),
              Map.entry(
                  "09 a team at its limit, unreachable machines, a change of leader, a cancellation",
                  List.of(
                      at(-25, OVERLOAD, 80),
                      at(0, MACHINES_PARTITIONED, 30),
                      at(1, LEADER_CRASHES, 0),
                      at(2, CANCEL_NOW, 0))),
              Map.entry("10 one-task jobs, four per second", List.of(at(-60, ONE_TASK_JOBS, 150))),
              Map.entry(
                  "11 a heartbeat is held until a new leader has acted",
                  List.of(at(-10, HEARTBEATS_KEPT_FOR_NEXT_LEADER, 20), at(8, LEADER_CRASHES, 0))),
              Map.entry(
                  "12 a poll, a repeated submission or a cancellation meets the end of the last task",
                  List.of(at(-60, CANCEL_ON_COMPLETION, 180), at(-60, IMMEDIATE_POLLS, 180))),
              Map.entry(
                  "13 the leader is partitioned from state service and peers, jobs are cancelled through the new one",
                  List.of(
                      at(0, LEADER_PARTITIONED_FROM_STATE_AND_PEERS, 45),
                      at(6, CANCEL_NOW, 0),
                      at(10, CANCEL_NOW, 0))),
              Map.entry(
                  "14 the state service is slow, refuses the leader, then everyone, while users cancel and poll",
                  List.of(
                      at(0, SLOW_STATE, 12),
                      at(0, IMMEDIATE_POLLS, 70),
                      at(8, LEADER_REFUSED_ALONE, 14),
                      at(8.2, CANCEL_NOW, 0),
                      at(10, STATE_OUTAGE, 40))),
              Map.entry(
                  "15 workers reach no controller, but commands reach workers",
                  List.of(
                      at(0, ALL_OUTBOUND_LOST, 30), at(4, CANCEL_NOW, 0), at(8, CANCEL_NOW, 0))),
              Map.entry(
                  "16 every team at its limit, cancelled jobs on partitioned or hung machines, the leader changes",
                  List.of(
                      at(-25, OVERLOAD, 80),
                      at(-24, OVERLOAD, 80),
                      at(0, CANCEL_NOW_WITH_HANG, 20),
                      at(0, MACHINES_PARTITIONED, 30),
                      at(2, LEADER_CRASHES, 0))),
              Map.entry(
                  "17 several changes of leader, all crash, the leader crashes again",
                  List.of(
                      at(0, LEADER_CHANGES, 10), at(12, ALL_CRASH, 0), at(13, LEADER_CRASHES, 0))),
              Map.entry(
                  "18 a zone with workers and a controller is partitioned",
                  List.of(at(0, ZONE_PARTITIONED, 30), at(5, CANCEL_NOW, 0))),
              Map.entry(
                  "19 leaders change ten times in two minutes, also in an outage",
                  List.of(
                      at(0, LEADER_CHANGES, 55),
                      at(60, LEADER_CHANGES, 55),
                      at(30, STATE_OUTAGE, 15),
                      at(70, STATE_OUTAGE, 5))),
              Map.entry(
                  "20 jobs are cancelled during changes of leader",
                  List.of(
                      at(0, LEADER_CRASHES, 0),
                      at(0.1, CANCEL_NOW, 0),
                      at(1.5, CANCEL_NOW, 0),
                      at(2.5, CANCEL_NOW, 0),
                      at(30, LEADER_PAUSES, 12),
                      at(31, CANCEL_NOW, 0),
                      at(33, CANCEL_NOW, 0))),
              Map.entry(
                  "21 an old heartbeat arrives after newer ones",
                  List.of(at(-40, LATE_HEARTBEATS, 120), at(0, ALL_DOWN_FOR_A_LEASE, 0))),
              Map.entry(
                  "22 all controllers are down for longer than a lease",
                  List.of(at(0, ALL_DOWN_FOR_A_LEASE, 0), at(24, CANCEL_NOW, 0))),
              Map.entry(
                  "23 an old heartbeat reaches every controller just after an election",
                  List.of(
                      at(-20, HEARTBEATS_KEPT_FOR_NEXT_LEADER, 60),
                      at(0, LEADER_CHANGES, 40),
                      at(5, CANCEL_NOW, 0))),
              Map.entry(
                  "24 the leader crashes while machines are unreachable or receive nothing from its successor",
                  List.of(
                      at(0, MACHINES_PARTITIONED, 35),
                      at(0, INBOUND_LOST, 35),
                      at(1, LEADER_CRASHES, 0),
                      at(3, CANCEL_NOW, 0))),
              Map.entry(
                  "25 jobs bound to a zone lose machines",
                  List.of(
                      at(0, MACHINES_DIE, 0),
                      at(15, MACHINES_DIE, 0),
                      at(20, LEADER_CRASHES, 0),
                      at(30, ZONE_PARTITIONED, 15))),
              Map.entry(
                  "26 commands of a crashed leader arrive after those of its successor",
                  List.of(
                      at(-5, LATE_COMMANDS, 60),
                      at(0, LEADER_CRASHES, 0),
                      at(1, CANCEL_NOW, 0),
                      at(6, LEADER_CRASHES, 0),
                      at(14, LEADER_CRASHES, 0))),
              Map.entry(
                  "27 commands of a deposed leader arrive after those of its successor",
                  List.of(
                      at(-5, LATE_COMMANDS, 60),
                      at(0, LEADER_PAUSES, 18),
                      at(3, CANCEL_NOW, 0),
                      at(20, LEADER_PARTITIONED_FROM_STATE_AND_PEERS, 25),
                      at(28, CANCEL_NOW, 0))),
              Map.entry(
                  "28 commands are late while machines of cancelled jobs hang, receive nothing or send nothing",
                  List.of(
                      at(-2, LATE_COMMANDS, 60),
                      at(0, CANCEL_NOW_WITH_HANG, 10),
                      at(1, INBOUND_LOST, 25),
                      at(2, ALL_OUTBOUND_LOST, 20),
                      at(8, CANCEL_NOW, 0))),
              Map.entry(
                  "29 commands are late while teams are at their limits and new machines boot fast",
                  List.of(
                      at(-25, OVERLOAD, 80),
                      at(-2, LATE_COMMANDS, 60),
                      at(0, QUICK_BOOTS, 25),
                      at(4, LEADER_CRASHES, 0),
                      at(6, CANCEL_NOW, 0))),
              Map.entry(
                  "30 commands are late in an outage and from a leader that the state service refuses",
                  List.of(
                      at(-2, LATE_COMMANDS, 60),
                      at(0, LEADER_REFUSED_ALONE, 12),
                      at(1, CANCEL_NOW, 0),
                      at(4, STATE_OUTAGE, 20),
                      at(12, CANCEL_NOW, 0))),
              Map.entry(
                  "31 machines of cancelled jobs hang during a cloud outage, commands are late and the leader crashes",
                  List.of(
                      at(-2, LATE_COMMANDS, 60),
                      at(0, CLOUD_OUTAGE, 70),
                      at(1, CANCEL_NOW_WITH_HANG, 15),
                      at(2, LEADER_CRASHES, 0),
                      at(6, CANCEL_NOW_WITH_HANG, 5),
                      at(8, MACHINES_PARTITIONED, 30),
                      at(9, CANCEL_NOW, 0))),
              Map.entry(
                  "32 one-task jobs, four per second, while commands and writes are late and the leader crashes",
                  List.of(
                      at(-30, ONE_TASK_JOBS, 120),
                      at(-2, LATE_COMMANDS, 60),
                      at(0, LATE_WRITES, 30),
                      at(5, CANCEL_ON_COMPLETION, 40),
                      at(10, LEADER_CRASHES, 0))),
              Map.entry(
                  "33 copies of answered commands arrive after tasks have failed, moved or been cancelled",
                  List.of(
                      at(-40, DUPLICATE_COMMANDS, 120),
                      at(-30, ONE_TASK_JOBS, 90),
                      at(-20, OVERLOAD, 60),
                      at(0, CANCEL_NOW, 0),
                      at(10, MACHINES_HANG, 0.8),
                      at(20, CANCEL_NOW, 0))),
              Map.entry(
                  "34 copies of answered commands arrive while leaders change within a second",
                  List.of(
                      at(-20, DUPLICATE_COMMANDS, 90),
                      at(-10, ONE_TASK_JOBS, 60),
                      at(0, LEADER_CHANGES, 30),
                      at(5, CANCEL_NOW, 0),
                      at(8, MACHINES_HANG, 0.8),
                      at(40, LEADER_CRASHES, 0)))));

  private static SimulatedCluster play(long seed, ClusterSize size, List<ScheduledFault> scenario) {
    SimulatedCluster day = SimulatedDay.prepare(seed, size);
    for (ScheduledFault fault : scenario) {
      day.clock.after(
          (long) ((START_SECONDS + fault.afterSeconds()) * SECOND_MICROS),
          () -> day.faults.start(fault.kind(), (long) (fault.durationSeconds() * SECOND_MICROS)));
    }
    day.clock.after(280 * SECOND_MICROS, day.liveness::onFaultsOver);
    day.clock.runUntil(360 * SECOND_MICROS);
    day.recordCompletedShare(SimulatedDay.COUNTED_UNTIL_MICROS);
    day.clock.runUntil(620 * SECOND_MICROS);
    return day;
  }

  /**
   * Guards against starvation of a job class: with more urgent work than capacity, only one of 118
   * jobs of the other class started. Endless urgent work must leave a share to the other class.
   */
  @Example
  void endlessOverloadStarvesNoJobClass() {
    for (long seed = 1; seed <= 3; seed++) {
      SimulatedCluster day = new SimulatedCluster(seed, ClusterSize.SMALL);
      for (int i = 0; i < 75; i++) {
        int number = i;
        day.clock.after(
            3 * SECOND_MICROS + i * 4L * SECOND_MICROS,
            () -> {
              day.users.submit(job(2 * number, JobSpec.Priority.HIGH, 12));
              if (number % 3 == 0) {
                day.users.submit(job(2 * number + 1, JobSpec.Priority.LOW, 3));
              }
            });
      }
      day.clock.runUntil(330 * SECOND_MICROS);
      assertTrue(
          CompletionShares.min(day, 150 * SECOND_MICROS) >= 0.5,
          "seed " + seed + " completed share " + CompletionShares.min(day, 150 * SECOND_MICROS));
      assertEquals(List.of(), day.rules.violations());
    }
  }

  private static JobSpec job(int number, JobSpec.Priority priority, int tasks) {
    return SampleJobs.job(SampleJobs.id(number))
        .jobClass(priority.name())
        .team(number % 8 < 4 ? "red" : "blue")
        .priority(priority)
        .tasks(tasks)
        .estimateMicros(18 * SECOND_MICROS)
        .build();
  }

  private static List<String> failures(ClusterSize size, long days, Predicate<String> chosen) {
    List<String> failures = new ArrayList<>();
    SCENARIOS.forEach(
        (name, scenario) -> {
          for (long seed = FIRST_SEED; chosen.test(name) && seed < FIRST_SEED + days; seed++) {
            SimulatedCluster day = play(seed, size, scenario);
            if (!day.rules.violations().isEmpty()
                || !day.users.unfinishedJobs().isEmpty()
                || day.tasks.startCount() == 0
                || day.completedShare() < 0.5) {
              failures.add(
                  name
                      + ", seed "
                      + seed
                      + ": "
                      + day.rules.violations().stream().limit(2).toList()
                      + " unfinished "
                      + day.users.unfinishedJobs()
                      + " completed share "
                      + day.completedShare()
                      + "; again: mvn -B test -Dtest=FaultScenariosTest -Dscenario.first="
                      + seed
                      + " -Dscenario.days=1 -DargLine=-Dsim.log=true");
            }
          }
        });
    return failures;
  }

  /**
   * The scenarios with kept heartbeats must deliver some of them; otherwise they would test
   * nothing.
   */
  @Example
  void keptHeartbeatsAreSentToTheNextLeader() {
    SCENARIOS.forEach(
        (name, scenario) -> {
          if (name.startsWith("11") || name.startsWith("23")) {
            SimulatedCluster day = play(1, ClusterSize.SMALL, scenario);
            assertTrue(day.faults.heartbeatsDeliveredToNewLeaders() > 0, name);
          }
        });
  }

  @Example
  void everyScenarioKeepsEveryRule() {
    assertEquals(List.of(), failures(ClusterSize.SMALL, DAYS, name -> true));
  }

  /**
   * Runs one day for each of the first scenarios. More of them run by hand: {@code
   * -Dscenario.grown=30}, {@code -Dscenario.fleet=30}, and with 4,000 machines {@code
   * -Dscenario.full=30}.
   */
  @Example
  void someScenariosAtTheGrownSizeKeepEveryRule() {
    assertEquals(
        List.of(), failures(ClusterSize.GROWN, 1, firstOf(PREFERRED_SCENARIOS, GROWN_SCENARIOS)));
  }

  @Example
  void someScenariosAtTheFleetSizeKeepEveryRule() {
    assertEquals(
        List.of(),
        failures(ClusterSize.fleet(3), 1, firstOf(PREFERRED_SCENARIOS, FLEET_SCENARIOS)));
  }

  @Example
  void chosenScenariosAtTheFullSizeKeepEveryRule() {
    assertEquals(
        List.of(), failures(ClusterSize.full(3), 1, firstOf(PREFERRED_SCENARIOS, FULL_SCENARIOS)));
  }

  /**
   * Returns whether a scenario is among the first, in the order of the preferred numbers and then
   * all others.
   */
  private static Predicate<String> firstOf(List<String> preferred, int count) {
    List<String> order = new ArrayList<>(preferred);
    SCENARIOS.keySet().stream()
        .map(name -> name.substring(0, 2))
        .filter(number -> !preferred.contains(number))
        .forEach(order::add);
    return name -> order.indexOf(name.substring(0, 2)) < count;
  }
}
