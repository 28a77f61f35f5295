package org.eiderstair.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.model.JobSpec;

/**
 * The state service refuses the leader alone, another controller confirms cancellations, then it is
 * out for all for longer than the cancelled tasks may go on, while workers report to the old
 * leader. And what is like it.
 */
class StaleLeaderFaultScenariosTest {
  private static final long SECOND = 1_000_000;
  private static final long CANCEL = 32 * SECOND;
  private static final long LEASE = 15 * SECOND;
  private static final int JOBS = 8;

  /**
   * Longer than the lease of the leader key: what it bounds are starts of what was cancelled
   * elsewhere.
   */
  private static final long LEADER_LEASE = 4_500_000;

  private final List<String> logs = new ArrayList<>();

  private static String id(int i) {
    return SampleJobs.id(i);
  }

  /** Eight jobs of two long tasks each, all running, half of them never cancelled. */
  private SimulatedCluster running(long seed) {
    SimulatedCluster day = new SimulatedCluster(seed, ClusterSize.SMALL);
    day.logs = logs::add;
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec =
          SampleJobs.job(id(i))
              .jobClass("c")
              .team(i % 2 == 0 ? "red" : "blue")
              .priority(JobSpec.Priority.HIGH)
              .tasks(2)
              .estimateMicros(300 * SECOND)
              .deadlineMicros(20 * SECOND)
              .build();
      day.clock.after(3 * SECOND, () -> day.users.submit(spec));
    }
    while (day.tasks.runningJobs().size() < JOBS && day.clock.now() < 150 * SECOND) {
      after(day, SECOND);
    }
    assertEquals(JOBS, day.tasks.runningJobs().size(), "all jobs run");
    return day;
  }

  private static void cancelHalf(SimulatedCluster day, int otherThan) {
    for (int i = 0; i < JOBS; i += 2) {
      day.users.cancelThrough((otherThan + 1) % 3, id(i));
    }
  }

  private static void after(SimulatedCluster day, long micros) {
    day.clock.runUntil(day.clock.now() + micros);
  }

  private static void assertHalfCancelled(SimulatedCluster day) {
    for (int i = 0; i < JOBS; i += 2) {
      assertEquals(Answer.Phase.CANCELLED, day.users.phase(id(i)), "confirmed " + id(i));
    }
  }

  private static void assertCancelledStoppedAndOthersDone(SimulatedCluster day) {
    assertEquals(List.of(), day.rules.violations());
    for (String id : day.tasks.runningJobs()) {
      assertTrue(day.users.phase(id) != Answer.Phase.CANCELLED, id + " still runs");
    }
    after(day, 700 * SECOND);
    assertEquals(List.of(), day.rules.violations());
    assertEquals(List.of(), day.users.unfinished());
  }

  /** With the lease renewed before the watch has answered, which it does only later. */
  @Example
  void jobsCancelledDuringTheGapEndInTimeAndOthersContinue() {
    for (long seed = 1; seed <= 12; seed++) {
      for (boolean newsArrives : new boolean[] {true, false}) {
        for (long outage : new long[] {9, 10, 36, 50}) {
          // The shorter ones end while the old leader may still answer, so that it renews its lease
          // again.
          long refusal = outage < 30 ? 4 + seed % 7 : 14;
          SimulatedCluster day = running(seed);
          int leader = day.leader();
          day.planted.peerCancellationsLost = !newsArrives;
          day.outages.stateServiceRefuses(leader, refusal * SECOND);
          after(day, SECOND / 2);
          cancelHalf(day, leader);
          after(day, 3 * SECOND / 2);
          assertHalfCancelled(day);
          day.outages.stateService(outage * SECOND);
          day.outages.watchHangs(leader, outage * SECOND + 40 * SECOND);
          int before = day.rules.startsAfterCancellation();
          after(day, CANCEL + 2 * SECOND);
          assertCancelledStoppedAndOthersDone(day);
          assertTrue(
              day.rules.startsAfterCancellation() == before
                  || day.rules.maxStartAfterCancellationMicros() < LEADER_LEASE,
              "seed "
                  + seed
                  + " outage "
                  + outage
                  + ": started "
                  + day.rules.maxStartAfterCancellationMicros()
                  + " after the confirmation");
        }
      }
    }
  }

  /**
   * Nothing else fails, but the leader's replica is stale: its renewals succeed, and prove nothing
   * of the replica.
   */
  @Example
  void aLeaderWhoseWatchHangsStepsDownInTime() {
    for (long seed = 1; seed <= 8; seed++) {
      logs.clear();
      SimulatedCluster day = running(seed);
      int leader = day.leader();
      day.planted.peerCancellationsLost = true;
      day.outages.watchHangs(leader, 120 * SECOND);
      after(day, SECOND);
      cancelHalf(day, leader);
      after(day, SECOND);
      assertHalfCancelled(day);
      assertTrue(
          day.tasks.runningJobs().size() > JOBS / 2,
          "cancelled jobs run on, since the leader does not know of their cancellation");
      after(day, CANCEL - LEASE);
      assertEquals(
          1,
          logs.stream()
              .filter(l -> l.contains("-> FOLLOWING") && l.contains("replica not shown"))
              .count());
      after(day, LEASE);
      assertCancelledStoppedAndOthersDone(day);
    }
  }

  /**
   * What a peer reports beside the state service is taken at once: long before any lease is over.
   */
  @Example
  void cancellationsFromAPeerEndTasksDuringAStateServiceOutage() {
    SimulatedCluster day = running(3);
    int leader = day.leader();
    day.outages.stateServiceRefuses(leader, 14 * SECOND);
    after(day, SECOND / 2);
    cancelHalf(day, leader);
    after(day, SECOND);
    assertHalfCancelled(day);
    day.outages.stateService(40 * SECOND);
    after(day, 6 * SECOND);
    for (int i = 0; i < JOBS; i++) {
      assertEquals(i % 2 != 0, day.tasks.runningJobs().contains(id(i)), "runs: " + id(i));
    }
    after(day, 30 * SECOND);
    assertCancelledStoppedAndOthersDone(day);
  }
}
