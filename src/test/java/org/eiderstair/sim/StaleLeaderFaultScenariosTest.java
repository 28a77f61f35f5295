package org.eiderstair.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.model.JobSpec;

/**
 * Guards against a stale leader that keeps cancelled tasks running.
 *
 * <p>The state service refuses only the leader, and another controller confirms cancellations. Then
 * the service is unavailable to everyone for longer than the cancelled tasks may run, while workers
 * still report to the old leader. The other tests cover similar failures.
 */
class StaleLeaderFaultScenariosTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long CANCEL_BOUND_MICROS = 32 * SECOND_MICROS;
  private static final long LEASE_MICROS = 15 * SECOND_MICROS;
  private static final int JOBS = 8;

  /**
   * Bounds how long after a cancellation that another controller confirmed a task may still start;
   * longer than the lease of the leader key.
   */
  private static final long LEADER_LEASE_MICROS = 4_500_000;

  private final List<String> logs = new ArrayList<>();

  private static String id(int i) {
    return SampleJobs.id(i);
  }

  /** Returns a day on which eight jobs with two long tasks each are running. */
  private SimulatedCluster dayWithRunningJobs(long seed) {
    SimulatedCluster day = new SimulatedCluster(seed, ClusterSize.SMALL);
    day.logListener = logs::add;
    for (int i = 0; i < JOBS; i++) {
      JobSpec spec =
          SampleJobs.job(id(i))
              .jobClass("c")
              .team(i % 2 == 0 ? "red" : "blue")
              .priority(JobSpec.Priority.HIGH)
              .tasks(2)
              .estimateMicros(300 * SECOND_MICROS)
              .deadlineMicros(20 * SECOND_MICROS)
              .build();
      day.clock.after(3 * SECOND_MICROS, () -> day.users.submit(spec));
    }
    while (day.tasks.runningJobs().size() < JOBS && day.clock.now() < 150 * SECOND_MICROS) {
      advance(day, SECOND_MICROS);
    }
    assertEquals(JOBS, day.tasks.runningJobs().size(), "all jobs run");
    return day;
  }

  /** Cancels every second job through another controller than the leader. */
  private static void cancelHalfThroughFollower(SimulatedCluster day, int leader) {
    for (int i = 0; i < JOBS; i += 2) {
      day.users.cancelThrough((leader + 1) % 3, id(i));
    }
  }

  private static void advance(SimulatedCluster day, long micros) {
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
    advance(day, 700 * SECOND_MICROS);
    assertEquals(List.of(), day.rules.violations());
    assertEquals(List.of(), day.users.unfinishedJobs());
  }

  /**
   * The leader can renew its lease after the outage, but its watch stays unanswered for longer. Its
   * renewals must not let cancelled tasks run beyond the bound, whether or not peers send it the
   * cancellations.
   */
  @Example
  void jobsCancelledWhileTheLeaderIsRefusedStopInTimeAndOthersContinue() {
    for (long seed = 1; seed <= 12; seed++) {
      for (boolean cancellationsArrive : new boolean[] {true, false}) {
        for (long outageSeconds : new long[] {9, 10, 36, 50}) {
          // Short outages end while the old leader may still answer, so it renews its lease again.
          long refusalSeconds = outageSeconds < 30 ? 4 + seed % 7 : 14;
          SimulatedCluster day = dayWithRunningJobs(seed);
          int leader = day.leader();
          day.defects.peerCancellationsLost = !cancellationsArrive;
          day.outages.stateServiceRefuses(leader, refusalSeconds * SECOND_MICROS);
          advance(day, SECOND_MICROS / 2);
          cancelHalfThroughFollower(day, leader);
          advance(day, 3 * SECOND_MICROS / 2);
          assertHalfCancelled(day);
          day.outages.stateServiceOutage(outageSeconds * SECOND_MICROS);
          day.outages.watchHangs(leader, outageSeconds * SECOND_MICROS + 40 * SECOND_MICROS);
          int startsBefore = day.rules.startsAfterCancellation();
          advance(day, CANCEL_BOUND_MICROS + 2 * SECOND_MICROS);
          assertCancelledStoppedAndOthersDone(day);
          assertTrue(
              day.rules.startsAfterCancellation() == startsBefore
                  || day.rules.maxStartAfterCancellationMicros() < LEADER_LEASE_MICROS,
              "seed "
                  + seed
                  + " outage "
                  + outageSeconds
                  + ": started "
                  + day.rules.maxStartAfterCancellationMicros()
                  + " after the confirmation");
        }
      }
    }
  }

  /**
   * Only the watch of the leader hangs. Its lease renewals succeed although its replica is stale,
   * so they must not keep it the leader.
   */
  @Example
  void aLeaderWhoseWatchHangsStepsDownInTime() {
    for (long seed = 1; seed <= 8; seed++) {
      logs.clear();
      SimulatedCluster day = dayWithRunningJobs(seed);
      int leader = day.leader();
      day.defects.peerCancellationsLost = true;
      day.outages.watchHangs(leader, 120 * SECOND_MICROS);
      advance(day, SECOND_MICROS);
      cancelHalfThroughFollower(day, leader);
      advance(day, SECOND_MICROS);
      assertHalfCancelled(day);
      assertTrue(
          day.tasks.runningJobs().size() > JOBS / 2,
          "cancelled jobs continue, since the leader does not know of their cancellation");
      advance(day, CANCEL_BOUND_MICROS - LEASE_MICROS);
      assertEquals(
          1,
          logs.stream()
              .filter(l -> l.contains("-> FOLLOWING") && l.contains("replica not shown"))
              .count());
      advance(day, LEASE_MICROS);
      assertCancelledStoppedAndOthersDone(day);
    }
  }

  /**
   * Cancellations that a peer sends during an outage of the state service must be applied at once,
   * long before any lease ends.
   */
  @Example
  void cancellationsFromAPeerEndTasksDuringAStateServiceOutage() {
    SimulatedCluster day = dayWithRunningJobs(3);
    int leader = day.leader();
    day.outages.stateServiceRefuses(leader, 14 * SECOND_MICROS);
    advance(day, SECOND_MICROS / 2);
    cancelHalfThroughFollower(day, leader);
    advance(day, SECOND_MICROS);
    assertHalfCancelled(day);
    day.outages.stateServiceOutage(40 * SECOND_MICROS);
    advance(day, 6 * SECOND_MICROS);
    for (int i = 0; i < JOBS; i++) {
      assertEquals(i % 2 != 0, day.tasks.runningJobs().contains(id(i)), "runs: " + id(i));
    }
    advance(day, 30 * SECOND_MICROS);
    assertCancelledStoppedAndOthersDone(day);
  }
}
