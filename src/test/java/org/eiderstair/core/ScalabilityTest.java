package org.eiderstair.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.WorkerRecord;

/**
 * Tests that the cost of an event does not grow with the number of workers, and that incrementally
 * updated totals equal a full count.
 */
class ScalabilityTest {
  private static double placementStepsPerTask(int machines) {
    LeaderFixture leader = new LeaderFixture();
    leader.machines(machines);
    for (int i = 0; i < 40; i++) {
      leader.job("blue", JobSpec.Priority.NORMAL, machines * 2, 1);
    }
    leader.placement.place(leader.now);
    leader.deliverPlannedLaunches();
    long before = leader.placement.steps();
    int placed = 0;
    // Each pass receives a number of heartbeats in proportion to the machines: one machine in
    // twenty reports that a task has ended.
    for (int round = 0; round < 20; round++) {
      int heartbeats = Math.max(1, machines / 20);
      for (int i = 0; i < heartbeats; i++) {
        leader.report(leader.workers.machines().get("m-" + (round * heartbeats + i) % machines), 1);
      }
      leader.placement.place(leader.now);
      for (Machine machine : leader.workers.machines().values()) {
        placed += machine.plannedLaunches().size();
      }
      leader.deliverPlannedLaunches();
    }
    assertTrue(placed >= 15 * Math.max(1, machines / 20), "placed " + placed);
    return (double) (leader.placement.steps() - before) / placed;
  }

  @Example
  void aPlacedTaskTakesTheSameNumberOfStepsWithAnyNumberOfMachines() {
    double small = placementStepsPerTask(50);
    assertTrue(
        placementStepsPerTask(500) <= small * 1.5,
        "500: " + placementStepsPerTask(500) + " against " + small);
    assertTrue(
        placementStepsPerTask(2000) <= small * 1.5,
        "2000: " + placementStepsPerTask(2000) + " against " + small);
  }

  @Example
  void theStartOfAFailoverSendsNoMessages() {
    for (int machines : new int[] {50, 500, 2000}) {
      LeaderFixture leader = new LeaderFixture();
      for (int i = 0; i < machines; i++) {
        leader.replica.apply(
            new Reply.Item(StateKeys.worker("m-" + i), new WorkerRecord("x", "t", "a", false), 1));
      }
      leader.workers.takeOver(leader.now, Optional.empty(), leader.now);
      assertEquals(machines, leader.workers.unconfirmed().size());
      assertTrue(
          leader.effects.isEmpty(), "a failover must not send messages to all machines at once");
    }
  }

  /**
   * Guards against a delay of a failover by unreachable machines: the requests to them must not
   * prevent the new leader from probing the others.
   */
  @Example
  void unreachableMachinesDoNotDelayTheProbesOfOthers() {
    LeaderFixture leader = new LeaderFixture();
    leader.lead();
    for (int i = 0; i < 60; i++) {
      leader.replica.apply(
          new Reply.Item(
              StateKeys.worker("m-" + i), new WorkerRecord("x" + i, "t", "a", false), 1));
    }
    leader.workers.takeOver(leader.now, Optional.empty(), leader.now);
    // No machine answers during this time, which is shorter than the timeout of a request.
    for (int i = 0; i < 100; i++) {
      leader.workers.tick(leader.now += 20_000, false);
    }
    long probes =
        leader.effects.stream()
            .filter(
                e -> e instanceof Effect.Call c && c.request() instanceof Request.WorkerCommands)
            .count();
    assertEquals(60, probes);
  }

  /**
   * Applies random heartbeats, ended tasks, cancellations and deletions of machines. The recorded
   * use of each team and the free resources of each machine must equal the sums over all attempts.
   */
  @Property(tries = 40, seed = "11")
  void incrementalTotalsEqualAFullCount(@ForAll long seed) {
    LeaderFixture leader = new LeaderFixture();
    leader.machines(12);
    UniformRandomProvider random = new XoRoShiRo128PlusPlus(seed, 3);
    for (int step = 0; step < 60; step++) {
      List<Machine> machines = new ArrayList<>(leader.workers.machines().values());
      Machine machine = machines.isEmpty() ? null : machines.get(random.nextInt(machines.size()));
      switch (random.nextInt(6)) {
        case 0 ->
            leader.job(
                random.nextBoolean() ? "red" : "blue",
                JobSpec.Priority.values()[random.nextInt(4)],
                1 + random.nextInt(20),
                1 + random.nextInt(3));
        case 1 -> {
          if (!leader.replica.openJobs().isEmpty()) {
            Job job = leader.replica.openJobs().iterator().next();
            leader.replica.apply(
                new Reply.Item(
                    StateKeys.job(job.id()),
                    JobRecord.cancelled(job.spec(), 0, 0),
                    ++leader.lastVersion));
            leader.workers.jobEnded(job);
          }
        }
        case 2 -> {
          if (machine != null && random.nextInt(4) == 0) {
            leader.workers.drain(machine);
          }
        }
        case 3 -> {
          if (machine != null && random.nextInt(8) == 0) {
            leader.workers.markTerminated(machine.id());
          }
        }
        default -> {
          if (machine != null) {
            leader.report(machine, random.nextInt(3));
          }
        }
      }
      leader.placement.place(leader.now += 100_000);
      if (random.nextBoolean()) {
        leader.deliverPlannedLaunches();
      }
      assertTotalsEqualFullCount(leader);
    }
  }

  private static void assertTotalsEqualFullCount(LeaderFixture leader) {
    Map<String, Double> cpusInUse = new LinkedHashMap<>();
    for (Machine machine : leader.workers.machines().values()) {
      double freeCpus = LeaderFixture.TYPE.cpus();
      for (Attempt attempt : machine.attempts()) {
        if (attempt.phase() != Attempt.Phase.QUEUED) {
          cpusInUse.merge(attempt.spec().team(), attempt.spec().cpus(), Double::sum);
          freeCpus -= attempt.spec().cpus();
        }
      }
      assertEquals(Math.max(0, freeCpus), machine.freeCpus(), 1e-6, "free CPUs of " + machine.id());
      assertEquals(
          machine.attempts().stream()
              .filter(attempt -> attempt.phase() == Attempt.Phase.QUEUED)
              .count(),
          machine.queue().size());
    }
    for (String team : leader.settings.teams().keySet()) {
      assertEquals(
          cpusInUse.getOrDefault(team, 0.0),
          leader.quotas.cpusInUse(team),
          1e-6,
          "CPUs in use by " + team);
    }
    for (Job job : leader.replica.openJobs()) {
      assertEquals(
          job.attempts().stream()
              .filter(attempt -> attempt.phase() == Attempt.Phase.QUEUED)
              .count(),
          job.queuedAttemptCount());
    }
  }
}
