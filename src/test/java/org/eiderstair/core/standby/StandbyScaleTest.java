package org.eiderstair.core.standby;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import net.jqwik.api.Example;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.core.source64.XoRoShiRo128PlusPlus;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.record.StandbyRecord;

/**
 * Tests the replication in a cluster of 4,000 machines with 62 tasks each. Use {@code
 * -Dstandby.machines=8000 -Dstandby.seconds=600} for a larger and longer run.
 */
class StandbyScaleTest {
  private static final int MACHINES = Integer.getInteger("standby.machines", 4_000);
  private static final int SECONDS = Integer.getInteger("standby.seconds", 10);
  private static final int TASKS_PER_MACHINE = 62;

  /** 170 launches a second per 1,040 machines, and as many tasks that end. */
  private static final int CHANGES_PER_SECOND = 2 * 170 * MACHINES / 1_040;

  private static final long ROUND_TRIP_MICROS = 3_000;
  private static final long TERM = 3;
  private static final String RUN = "b1";

  private final UniformRandomProvider random = new XoRoShiRo128PlusPlus(11, 4);
  private final Map<String, Map<String, Long>> attempts = new HashMap<>();
  private final ArrayDeque<Runnable> answers = new ArrayDeque<>();
  private final Standby leader = new Standby("a", "a1", text -> {});
  private final Standby follower = new Standby("b", RUN, text -> {});
  private long now = 10_000_000;
  private long lastTask;
  private int batches;

  private void start() {
    for (int i = 0; i < MACHINES * TASKS_PER_MACHINE; i++) {
      attempts.computeIfAbsent(machine(i), id -> new HashMap<>()).put(nextJob(), 1L);
    }
    leader.startTerm(
        new InstantHost() {
          @Override
          public void snapshot(Consumer<ReplicationBatch.Change> each) {
            attempts.forEach(
                (machine, jobs) ->
                    jobs.forEach((job, a) -> each.accept(change(true, machine, job))));
          }

          @Override
          public void send(
              String peer,
              ReplicationBatch batch,
              Consumer<Optional<ReplicationBatch.Ack>> callback) {
            batches++;
            ReplicationBatch.Ack ack = follower.receive(batch, true, now);
            answers.add(() -> callback.accept(Optional.of(ack)));
          }
        },
        TERM,
        List.of("b"),
        0);
  }

  private static String machine(int number) {
    return "i-" + number % MACHINES;
  }

  private String nextJob() {
    return "job-" + ++lastTask;
  }

  private static ReplicationBatch.Change change(boolean present, String machine, String job) {
    return new ReplicationBatch.Change(present, machine, 1, job, 0, 1);
  }

  /** Simulates one round trip to the follower, and the launches and ends of tasks during it. */
  private void step() {
    leader.tick(now);
    now += ROUND_TRIP_MICROS;
    long due =
        CHANGES_PER_SECOND * now / 1_000_000
            - CHANGES_PER_SECOND * (now - ROUND_TRIP_MICROS) / 1_000_000;
    for (int i = 0; i < due; i++) {
      changeOne(machine(random.nextInt(MACHINES)), i % 2 == 0);
    }
    while (!answers.isEmpty()) {
      answers.poll().run();
    }
  }

  private void changeOne(String machine, boolean launch) {
    Map<String, Long> jobs = attempts.get(machine);
    if (launch || jobs.isEmpty()) {
      String job = nextJob();
      jobs.put(job, 1L);
      leader.replicate(change(true, machine, job));
    } else {
      String job = jobs.keySet().iterator().next();
      jobs.remove(job);
      leader.replicate(change(false, machine, job));
    }
  }

  private boolean inSync() {
    return leader.summary().endsWith("in sync");
  }

  private int stepsUntilInSync() {
    int steps = 0;
    while (!inSync()) {
      assertFalse(leader.summary().equals("UNREPLICATED") && batches > 0, "replication failed");
      assertTrue(++steps < 100_000, leader.summary());
      step();
    }
    return steps;
  }

  /** Asserts that the standby recovers exactly the attempts that may be on machines. */
  private void assertRecoversAll() {
    for (int i = 0; i < 100; i++) {
      leader.tick(now += ROUND_TRIP_MICROS);
      while (!answers.isEmpty()) {
        answers.poll().run();
      }
    }
    follower.stopFollowing();
    Map<String, RecoveredMachine> recovered =
        follower.recover(9, 9, new StandbyRecord(TERM, "b", RUN)).orElseThrow();
    assertEquals(attempts.keySet(), recovered.keySet());
    attempts.forEach(
        (machine, jobs) ->
            assertEquals(jobs.keySet(), recovered.get(machine).attempts().keySet(), machine));
  }

  @Example
  void standbyOfFullClusterIsInSyncWithinSeconds() {
    start();
    long began = now;
    stepsUntilInSync();
    int tasks = MACHINES * TASKS_PER_MACHINE;
    // One batch of 400 changes per round trip, plus the changes made during the transfer.
    assertTrue(now - began < 2L * tasks / 400 * ROUND_TRIP_MICROS, (now - began) + " us");
    assertRecoversAll();
  }

  @Example
  void launchesAreSentWithinTwoRoundTripsUnderLoad() {
    start();
    stepsUntilInSync();
    long end = now + SECONDS * 1_000_000L;
    long[] longest = new long[1];
    Set<Long> waiting = new HashSet<>();
    while (now < end) {
      long held = now;
      waiting.add(held);
      leader.launch(
          () -> {
            waiting.remove(held);
            longest[0] = Math.max(longest[0], now - held);
          },
          () -> {
            throw new AssertionError("withheld");
          });
      step();
    }
    assertTrue(waiting.size() <= 2, waiting.size() + " wait");
    assertTrue(longest[0] <= 2 * ROUND_TRIP_MICROS, longest[0] + " us");
    assertRecoversAll();
  }

  /**
   * Guards against a standby that falls out of sync when a third of the machines is lost at once.
   */
  @Example
  void standbyStaysInSyncWhenAZoneIsLost() {
    start();
    stepsUntilInSync();
    for (int i = 0; i < MACHINES; i += 3) {
      String machine = machine(i);
      attempts.get(machine).keySet().forEach(job -> leader.replicate(change(false, machine, job)));
      attempts.get(machine).clear();
    }
    boolean[] launched = new boolean[1];
    leader.launch(() -> launched[0] = true, () -> {});
    long began = now;
    while (!launched[0]) {
      step();
      assertTrue(inSync(), leader.summary());
    }
    // The launch waits for all batches before it, one per round trip.
    int removals = MACHINES / 3 * TASKS_PER_MACHINE;
    assertTrue(now - began < 2L * removals / 400 * ROUND_TRIP_MICROS, (now - began) + " us");
    assertRecoversAll();
  }
}
