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
 * What an event costs must not grow with the workers, and what is kept by increments must equal a
 * full count.
 */
class GrowthTest {
  private static double stepsPerTask(int machines) {
    LeaderBench bench = new LeaderBench();
    bench.machines(machines);
    for (int i = 0; i < 40; i++) {
      bench.job("blue", JobSpec.Priority.NORMAL, machines * 2, 1);
    }
    bench.placement.place(bench.now);
    bench.deliver();
    long before = bench.placement.steps();
    int placed = 0;
    // As many heartbeats as come in one pass at that size: one machine in twenty has a task that
    // ended.
    for (int round = 0; round < 20; round++) {
      int reports = Math.max(1, machines / 20);
      for (int i = 0; i < reports; i++) {
        bench.report(bench.workers.machines().get("m-" + (round * reports + i) % machines), 1);
      }
      bench.placement.place(bench.now);
      for (Machine machine : bench.workers.machines().values()) {
        placed += machine.plannedLaunches().size();
      }
      bench.deliver();
    }
    assertTrue(placed >= 15 * Math.max(1, machines / 20), "placed " + placed);
    return (double) (bench.placement.steps() - before) / placed;
  }

  @Example
  void aPlacedTaskCostsTheSameHoweverManyMachinesThereAre() {
    double small = stepsPerTask(50);
    assertTrue(stepsPerTask(500) <= small * 1.5, "500: " + stepsPerTask(500) + " against " + small);
    assertTrue(
        stepsPerTask(2000) <= small * 1.5, "2000: " + stepsPerTask(2000) + " against " + small);
  }

  @Example
  void aFailoverSendsNothingInABurst() {
    for (int machines : new int[] {50, 500, 2000}) {
      LeaderBench bench = new LeaderBench();
      for (int i = 0; i < machines; i++) {
        bench.replica.apply(
            new Reply.Item(StateKeys.worker("m-" + i), new WorkerRecord("x", "t", "a", false), 1));
      }
      bench.workers.takeOver(bench.now, Optional.empty(), bench.now);
      assertEquals(machines, bench.workers.unconfirmed().size());
      assertTrue(bench.effects.isEmpty(), "nothing is sent in a burst");
    }
  }

  /** Machines that nobody reaches must not keep the others from being asked after a failover. */
  @Example
  void machinesOutOfReachDoNotHoldUpTheOthers() {
    LeaderBench bench = new LeaderBench();
    bench.lead();
    for (int i = 0; i < 60; i++) {
      bench.replica.apply(
          new Reply.Item(
              StateKeys.worker("m-" + i), new WorkerRecord("x" + i, "t", "a", false), 1));
    }
    bench.workers.takeOver(bench.now, Optional.empty(), bench.now);
    // None of them answers, for less than a time limit.
    for (int i = 0; i < 100; i++) {
      bench.workers.tick(bench.now += 20_000, false);
    }
    long asked =
        bench.effects.stream()
            .filter(
                e -> e instanceof Effect.Call c && c.request() instanceof Request.WorkerCommands)
            .count();
    assertEquals(60, asked);
  }

  /**
   * Random heartbeats, ends, cancellations and deletions: team use and room must equal what the
   * attempts add up to.
   */
  @Property(tries = 40, seed = "11")
  void increments(@ForAll long seed) {
    LeaderBench bench = new LeaderBench();
    bench.machines(12);
    UniformRandomProvider random = new XoRoShiRo128PlusPlus(seed, 3);
    for (int step = 0; step < 60; step++) {
      List<Machine> machines = new ArrayList<>(bench.workers.machines().values());
      Machine machine = machines.isEmpty() ? null : machines.get(random.nextInt(machines.size()));
      switch (random.nextInt(6)) {
        case 0 ->
            bench.job(
                random.nextBoolean() ? "red" : "blue",
                JobSpec.Priority.values()[random.nextInt(4)],
                1 + random.nextInt(20),
                1 + random.nextInt(3));
        case 1 -> {
          if (!bench.replica.openJobs().isEmpty()) {
            Job job = bench.replica.openJobs().iterator().next();
            bench.replica.apply(
                new Reply.Item(
                    StateKeys.job(job.id()),
                    JobRecord.cancelled(job.spec(), 0, 0),
                    ++bench.versions));
            bench.workers.jobEnded(job);
          }
        }
        case 2 -> {
          if (machine != null && random.nextInt(4) == 0) {
            bench.workers.drain(machine);
          }
        }
        case 3 -> {
          if (machine != null && random.nextInt(8) == 0) {
            bench.workers.markTerminated(machine.id());
          }
        }
        default -> {
          if (machine != null) {
            bench.report(machine, random.nextInt(3));
          }
        }
      }
      bench.placement.place(bench.now += 100_000);
      if (random.nextBoolean()) {
        bench.deliver();
      }
      check(bench);
    }
  }

  private static void check(LeaderBench bench) {
    Map<String, Double> use = new LinkedHashMap<>();
    for (Machine machine : bench.workers.machines().values()) {
      double free = LeaderBench.TYPE.cpus();
      for (Attempt attempt : machine.attempts()) {
        if (attempt.phase() != Attempt.Phase.QUEUED) {
          use.merge(attempt.spec().team(), attempt.spec().cpus(), Double::sum);
          free -= attempt.spec().cpus();
        }
      }
      assertEquals(Math.max(0, free), machine.freeCpus(), 1e-6, "room of " + machine.id());
      assertEquals(
          machine.attempts().stream()
              .filter(attempt -> attempt.phase() == Attempt.Phase.QUEUED)
              .count(),
          machine.queue().size());
    }
    for (String team : bench.settings.teams().keySet()) {
      assertEquals(
          use.getOrDefault(team, 0.0), bench.quotas.cpusInUse(team), 1e-6, "use of " + team);
    }
    for (Job job : bench.replica.openJobs()) {
      assertEquals(
          job.attempts().stream()
              .filter(attempt -> attempt.phase() == Attempt.Phase.QUEUED)
              .count(),
          job.queuedAttemptCount());
    }
  }
}
