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
    return String.format("job-%06d", i);
  }

  /** Eight jobs of two long tasks each, all running, half of them never cancelled. */
  private SimulatedCluster running(long seed) {
    SimulatedCluster day = new SimulatedCluster(seed, SimulatedCluster.Size.SMALL, s -> {});
    day.logs = logs::add;
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec =
          new JobSpec(
              id(i),
              "c",
              i % 2 == 0 ? "red" : "blue",
              JobSpec.Shape.ARRAY,
              JobSpec.Priority.HIGH,
              2,
              1,
              0,
              1,
              "img",
              0.5,
              null,
              null,
              false,
              false,
              true,
              300 * SECOND,
              0,
              0,
              20 * SECOND);
      day.clock.after(3 * SECOND, () -> day.submit(spec));
    }
    while (day.running().size() < JOBS && day.clock.now() < 150 * SECOND) {
      after(day, SECOND);
    }
    assertEquals(JOBS, day.running().size(), "all run");
    return day;
  }

  private static void cancelHalf(SimulatedCluster day, int otherThan) {
    for (int i = 0; i < JOBS; i += 2) {
      day.cancelThrough((otherThan + 1) % 3, id(i));
    }
  }

  private static void after(SimulatedCluster day, long micros) {
    day.clock.runUntil(day.clock.now() + micros);
  }

  private static void assertHalfCancelled(SimulatedCluster day) {
    for (int i = 0; i < JOBS; i += 2) {
      assertEquals(Answer.Phase.CANCELLED, day.told(id(i)), "confirmed " + id(i));
    }
  }

  private static void assertCancelledGoneAndTheRestDone(SimulatedCluster day) {
    assertEquals(List.of(), day.broken);
    for (String id : day.running()) {
      assertTrue(day.told(id) != Answer.Phase.CANCELLED, id + " still runs");
    }
    after(day, 700 * SECOND);
    assertEquals(List.of(), day.broken);
    assertEquals(List.of(), day.unfinished());
  }

  /** With the lease renewed before the watch has answered, which it does only later. */
  @Example
  void whatWasCancelledInTheGapIsGoneInTimeAndTheRestGoesOn() {
    for (long seed = 1; seed <= 12; seed++) {
      for (boolean newsArrives : new boolean[] {true, false}) {
        for (long outage : new long[] {9, 10, 36, 50}) {
          // The shorter ones end while the old leader may still answer, so that it renews its lease
          // again.
          long refusal = outage < 30 ? 4 + seed % 7 : 14;
          SimulatedCluster day = running(seed);
          int leader = day.leader();
          day.newsLost = !newsArrives;
          day.refuseOne(leader, refusal * SECOND);
          after(day, SECOND / 2);
          cancelHalf(day, leader);
          after(day, 3 * SECOND / 2);
          assertHalfCancelled(day);
          day.stateOutage(outage * SECOND);
          day.faults.watchHangs(leader, outage * SECOND + 40 * SECOND);
          int before = day.startedCancelled;
          after(day, CANCEL + 2 * SECOND);
          assertCancelledGoneAndTheRestDone(day);
          assertTrue(
              day.startedCancelled == before || day.longestStartMicros < LEADER_LEASE,
              "seed "
                  + seed
                  + " outage "
                  + outage
                  + ": started "
                  + day.longestStartMicros
                  + " after the confirmation");
        }
      }
    }
  }

  /**
   * Nothing else fails, but the leader's picture is old: its renewals succeed, and prove nothing of
   * the picture.
   */
  @Example
  void aLeaderWhoseWatchHangsEndsItsAnswersInTime() {
    for (long seed = 1; seed <= 8; seed++) {
      logs.clear();
      SimulatedCluster day = running(seed);
      int leader = day.leader();
      day.newsLost = true;
      day.faults.watchHangs(leader, 120 * SECOND);
      after(day, SECOND);
      cancelHalf(day, leader);
      after(day, SECOND);
      assertHalfCancelled(day);
      assertTrue(day.running().size() > JOBS / 2, "they run on, unknown to the leader");
      after(day, CANCEL - LEASE);
      assertEquals(
          1,
          logs.stream()
              .filter(l -> l.contains("-> FOLLOWING") && l.contains("replica not shown"))
              .count());
      after(day, LEASE);
      assertCancelledGoneAndTheRestDone(day);
    }
  }

  /** What a peer tells beside the state service is taken at once: long before any lease is over. */
  @Example
  void aPeersWordEndsTasksWhileTheStateServiceIsOut() {
    SimulatedCluster day = running(3);
    int leader = day.leader();
    day.refuseOne(leader, 14 * SECOND);
    after(day, SECOND / 2);
    cancelHalf(day, leader);
    after(day, SECOND);
    assertHalfCancelled(day);
    day.stateOutage(40 * SECOND);
    after(day, 6 * SECOND);
    for (int i = 0; i < JOBS; i++) {
      assertEquals(i % 2 != 0, day.running().contains(id(i)), "runs: " + id(i));
    }
    after(day, 30 * SECOND);
    assertCancelledGoneAndTheRestDone(day);
  }
}
