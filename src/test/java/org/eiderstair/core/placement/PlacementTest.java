package org.eiderstair.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.eiderstair.core.capacity.Demand;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.JobSpec.Priority;
import org.eiderstair.core.model.JobSpecBuilder;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.settings.SettingsBuilder;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.IgnoringReplicaListener;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.AvailableMachines;
import org.eiderstair.core.workers.OverloadMonitor;
import org.eiderstair.core.workers.WorkerManager;

/** Tests the order of service, quotas, queues, preemption and constraints of placement passes. */
class PlacementTest {
  private static final long NOW = 100_000_000;
  private static final long TERM = 100;
  private static final MachineType TYPE =
      new MachineType("t", 8, 0, 32, 10, 1, 1, 0.3, 30_000_000, List.of("a", "b"));

  private final Settings settings =
      SettingsBuilder.settings()
          .zones("a", "b")
          .team("red", 4, 8)
          .team("blue", 4, 0)
          .objectives(new Settings.Objective(Settings.Objective.Kind.WAIT, "c1", 5_000_000, 0.9))
          .build();
  private final EffectSink sink = new EffectSink(e -> {});
  private final Replica replica = new Replica(settings, sink, new IgnoringReplicaListener(), 0);
  private final TeamQuotas quotas = new TeamQuotas(settings);
  private final AvailableMachines availableMachines = new AvailableMachines(10);
  private final WorkerManager workers =
      new WorkerManager(
          settings,
          sink,
          replica,
          null,
          null,
          availableMachines,
          quotas,
          new Standby("n0", "run", text -> {}),
          new OverloadMonitor(settings, sink),
          1);
  private final Demand demand = new Demand(settings, replica);
  private final Placement placement =
      new Placement(
          settings, sink, replica, workers, availableMachines, quotas, TERM, demand, n -> 0);
  private long versions = 1;

  private Job job(int number, String team, Priority priority, int tasks, double cpus) {
    JobSpec spec =
        JobSpecBuilder.job("job-" + number)
            .jobClass("c" + number)
            .team(team)
            .priority(priority)
            .tasks(tasks)
            .cpus(cpus)
            .build();
    replica.apply(new Reply.Item(StateKeys.job(spec.id()), JobRecord.open(spec, 0), ++versions));
    return replica.job(spec.id());
  }

  private Machine machine(String id, String zone, boolean spot) {
    Machine machine = new Machine(id, 1, Machine.Phase.CONFIRMED, 0);
    machine.describe(null, "t", zone, spot);
    machine.assignType(TYPE);
    machine.markRegistered();
    workers.add(machine);
    machine.recomputeFreeResources();
    availableMachines.offer(machine);
    return machine;
  }

  private static long planned(Job job) {
    return job.attempts().stream().filter(a -> a.phase() == Attempt.Phase.PLANNED).count();
  }

  /** Simulates heartbeats that report the planned attempts of the job. */
  private static void confirmPlanned(Job job) {
    job.attempts().stream()
        .filter(a -> a.phase() == Attempt.Phase.PLANNED)
        .forEach(
            a -> {
              a.markReported();
              a.machine().takeLaunches(true);
            });
  }

  @Example
  void higherPriorityIsPlacedFirstAndOtherTasksQueueOrWait() {
    Job low = job(1, "blue", Priority.LOW, 12, 1);
    Job high = job(2, "blue", Priority.HIGH, 6, 1);
    Machine machine = machine("m", "a", true);
    placement.place(NOW);
    assertEquals(6, high.attemptCount());
    assertEquals(4, low.attemptCount(), "two run and two queue");
    assertEquals(2, machine.queue().size());
    assertEquals(8, machine.plannedLaunches().size());
  }

  @Example
  void aTeamStaysWithinItsLimit() {
    Job red = job(1, "red", Priority.NORMAL, 20, 1);
    machine("m", "a", true);
    machine("n", "a", true);
    placement.place(NOW);
    assertEquals(8, red.attemptCount());
  }

  /**
   * Guards against a zone of unconfirmed machines blocking every team. A team counts only its own
   * unaccounted tasks as running there.
   */
  @Example
  void unconfirmedMachinesCountOnlyTheUnaccountedTasksOfATeam() {
    Job older = job(1, "red", Priority.NORMAL, 3, 1);
    versions = TERM;
    Job newer = job(2, "red", Priority.NORMAL, 20, 1);
    machine("m", "a", true);
    Machine unconfirmed = new Machine("u", 1, Machine.Phase.UNCONFIRMED, 0);
    unconfirmed.assignType(TYPE);
    workers.add(unconfirmed);
    placement.place(NOW);
    assertEquals(0, older.attemptCount(), "may be on the unconfirmed machine");
    assertEquals(5, newer.attemptCount());
  }

  /** Workers may still run tasks of a job that was cancelled recently, but not long afterwards. */
  @Example
  void recentlyCancelledJobsCountOnUnconfirmedMachines() {
    Job cancelled = job(1, "red", Priority.NORMAL, 6, 1);
    replica.advanceTo(NOW);
    replica.apply(
        new Reply.Item(
            StateKeys.job(cancelled.id()),
            JobRecord.cancelled(cancelled.spec(), 0, 0),
            ++versions));
    versions = TERM;
    Job newer = job(2, "red", Priority.NORMAL, 20, 1);
    machine("m", "a", true);
    Machine unconfirmed = new Machine("u", 1, Machine.Phase.UNCONFIRMED, 0);
    unconfirmed.assignType(TYPE);
    workers.add(unconfirmed);
    placement.place(NOW);
    assertEquals(2, planned(newer));
    placement.place(NOW + settings.workerTimings().cancelMicros() + 6_000_000);
    assertEquals(8, planned(newer));
  }

  /**
   * Guards against long tasks of normal priority filling a team's limit. The team's urgent jobs
   * then waited although machines were free.
   */
  @Example
  void partOfTheLimitIsReservedForMoreUrgentWork() {
    Job urgent = job(1, "red", Priority.HIGH, 4, 1);
    demand.measure(NOW);
    replica.apply(new Reply.Item(StateKeys.job(urgent.id()), JobRecord.done(4), ++versions));
    assertFalse(replica.openJobs().contains(urgent));
    Job normal = job(2, "red", Priority.NORMAL, 20, 1);
    machine("m", "a", true);
    machine("n", "a", true);
    placement.place(NOW);
    assertTrue(normal.attemptCount() < 8, "placed " + normal.attemptCount());
    assertTrue(normal.attemptCount() >= 4, "at most half of the limit is reserved");
  }

  /**
   * Guards against repeated preemption of the same tasks, as in an incident. A preempted job within
   * its own guarantee was placed again first, and then preempted again.
   */
  @Example
  void aJobWithinItsGuaranteeIsNotPreempted() {
    Job within = job(1, "blue", Priority.NORMAL, 4, 1);
    Job beyond = job(2, "blue", Priority.NORMAL, 4, 1);
    machine("m", "a", true);
    placement.place(NOW);
    confirmPlanned(within);
    confirmPlanned(beyond);
    Job waiting = job(3, "red", Priority.NORMAL, 3, 1);
    assertEquals(0, waiting.submittedMicros());
    placement.place(NOW + 1_000_000);
    assertTrue(within.attempts().stream().noneMatch(a -> a.isStopRequested()));
    assertEquals(3, beyond.attempts().stream().filter(a -> a.isStopRequested()).count());
  }

  /**
   * Guards against small tasks of low priority taking every freed processor. Larger, more urgent
   * tasks then never fit on any machine.
   */
  @Example
  void freeProcessorsAccumulateForALargerQueuedTask() {
    Job small = job(1, "blue", Priority.LOW, 20, 1);
    Machine machine = machine("m", "a", true);
    placement.place(NOW);
    assertEquals(8, machine.plannedLaunches().size());
    confirmPlanned(small);
    Job large = job(2, "blue", Priority.NORMAL, 1, 4);
    placement.place(NOW + 1);
    assertTrue(large.hasQueuedAttempts());
    for (int i = 0; i < 4; i++) {
      small.markCompleted(i);
      workers.remove(small.attempt(i));
      placement.place(NOW + 2 + i);
    }
    assertEquals(
        4, small.attempts().stream().filter(a -> a.phase() != Attempt.Phase.QUEUED).count());
    assertEquals(Attempt.Phase.PLANNED, large.attempt(0).phase());
  }

  /**
   * Guards against on-demand machines that stay in use after the backlog they were rented for. They
   * ran work that spot machines could have run, until the end of the day.
   */
  @Example
  void reservedOnDemandMachinesTakeNoJobsThatAllowSpot() {
    Machine onDemand = machine("o", "a", false);
    onDemand.setReservedForOnDemand(true);
    Job flexible = job(1, "blue", Priority.NORMAL, 4, 1);
    placement.place(NOW);
    assertEquals(0, planned(flexible));
    onDemand.setReservedForOnDemand(false);
    placement.place(NOW + 1);
    assertEquals(4, onDemand.plannedLaunches().size());
  }

  /** A guarantee also holds for low priority, against normal work of a team above its guarantee. */
  @Example
  void jobsWithinAGuaranteeArePlacedBeforeJobsAboveOne() {
    Job aboveGuarantee = job(1, "blue", Priority.NORMAL, 40, 1);
    Job within = job(2, "red", Priority.LOW, 4, 1);
    machine("m", "a", true);
    placement.place(NOW);
    assertEquals(4, planned(within));
    assertEquals(4, planned(aboveGuarantee));
  }

  @Example
  void zoneRulesHoldAcrossPasses() {
    JobSpec one =
        JobSpecBuilder.job("job-8")
            .team("blue")
            .tasks(6)
            .cpus(4)
            .oneZone(true)
            .estimateMicros(1_000_000)
            .build();
    JobSpec spread =
        JobSpecBuilder.job("job-9")
            .team("blue")
            .tasks(5)
            .spread(true)
            .estimateMicros(1_000_000)
            .build();
    for (JobSpec spec : List.of(one, spread)) {
      replica.apply(new Reply.Item(StateKeys.job(spec.id()), JobRecord.open(spec, 0), ++versions));
    }
    machine("a1", "a", true);
    machine("b1", "b", true);
    machine("a2", "a", true);
    placement.place(NOW);
    placement.place(NOW + 1);
    assertEquals(
        1,
        replica.job("job-8").attempts().stream().map(a -> a.machine().zone()).distinct().count());
    Map<String, Integer> perZone = new HashMap<>();
    replica
        .job("job-9")
        .attempts()
        .forEach(a -> perZone.merge(a.machine().zone(), 1, Integer::sum));
    perZone.values().forEach(n -> assertTrue(n <= 3, perZone.toString()));
  }

  @Example
  void jobsThatAllowSpotPreferSpotMachines() {
    Machine onDemand = machine("o", "a", false);
    Machine spot = machine("s", "a", true);
    job(1, "blue", Priority.NORMAL, 4, 1);
    placement.place(NOW);
    assertEquals(4, spot.plannedLaunches().size());
    assertTrue(onDemand.plannedLaunches().isEmpty());
  }
}
