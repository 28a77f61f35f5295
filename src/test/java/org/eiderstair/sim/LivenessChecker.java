package org.eiderstair.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.TaskId;

/**
 * Checks the liveness rules: large jobs start in time, also during faults. Once all faults are
 * over, no job waits for long with free resources, and polls are answered.
 */
final class LivenessChecker {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long MAX_WAIT_WITH_FREE_RESOURCES_MICROS = 90 * SECOND_MICROS;
  private static final long MAX_UNANSWERED_MICROS = 75 * SECOND_MICROS;
  private static final long MAX_LARGE_JOB_START_DELAY_MICROS = 240 * SECOND_MICROS;

  private final SimulatedCluster cluster;

  /** Since when a job has waited although a machine has free resources for one of its tasks. */
  private final Map<String, Long> waitingSinceMicros = new HashMap<>();

  /** Jobs that have started, and large jobs whose missing start was reported. */
  private final Set<String> startedOrReported = new HashSet<>();

  /** When a poll of a job was last answered. */
  private final Map<String, Long> lastAnsweredMicros = new HashMap<>();

  private long faultsOverAtMicros;

  LivenessChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void start() {
    checkLargestJobsStart();
  }

  /**
   * Called when all faults have ended; the checks of waiting jobs and unanswered polls start now.
   */
  void onFaultsOver() {
    faultsOverAtMicros = cluster.clock.now();
    checkAcceptedJobs();
  }

  /** A poll of a job was answered. */
  void onAnswer(String job) {
    lastAnsweredMicros.put(job, cluster.clock.now());
  }

  void onTaskStarted(String job) {
    waitingSinceMicros.remove(job);
    startedOrReported.add(job);
  }

  private void checkLargestJobsStart() {
    cluster.clock.after(SECOND_MICROS, this::checkLargestJobsStart);
    for (String job : cluster.users.acceptedJobs()) {
      if (cluster.users.spec(job).tasks() > cluster.size.tasks() * 3 / 4
          && !cluster.users.cancelRequested(job)
          && cluster.clock.now()
              > cluster.users.submittedAtMicros(job) + MAX_LARGE_JOB_START_DELAY_MICROS
          && startedOrReported.add(job)) {
        cluster.rules.recordViolation(Rule.LARGEST_DELAYED, job + " does not start in time");
      }
    }
  }

  private void checkAcceptedJobs() {
    cluster.clock.after(SECOND_MICROS, this::checkAcceptedJobs);
    for (String job : cluster.users.acceptedJobs()) {
      checkAnswered(job);
      checkDoesNotWaitWithFreeResources(job);
    }
  }

  private void checkAnswered(String job) {
    long unansweredSince = Math.max(faultsOverAtMicros, lastAnsweredMicros.getOrDefault(job, 0L));
    if (cluster.clock.now() > unansweredSince + MAX_UNANSWERED_MICROS) {
      cluster.rules.recordViolation(Rule.UNANSWERED, job);
      onAnswer(job);
    }
  }

  private void checkDoesNotWaitWithFreeResources(String job) {
    long now = cluster.clock.now();
    if (!waitsWithFreeResources(job)) {
      waitingSinceMicros.remove(job);
    } else if (now
        > waitingSinceMicros.computeIfAbsent(job, id -> now)
            + MAX_WAIT_WITH_FREE_RESOURCES_MICROS) {
      cluster.rules.recordViolation(Rule.WAITS_BESIDE_ROOM, job);
      waitingSinceMicros.remove(job);
    }
  }

  private boolean waitsWithFreeResources(String job) {
    SimulatedUsers users = cluster.users;
    JobSpec spec = users.spec(job);
    return !users.hasEnded(job)
        && !cluster.tasks.allCompleted(job)
        && !users.cancelRequested(job)
        && !users.alwaysFails(job)
        && !runsSomewhere(job)
        && cluster.tasks.teamCpus(spec.team()) + spec.cpus()
            <= cluster.size.limit() + RuleChecker.MAX_ROUNDING_ERROR_CPUS
        && hasFreeResources(spec);
  }

  private boolean runsSomewhere(String job) {
    for (TaskId task : cluster.tasks.runningTasksOf(job)) {
      if (cluster.cloud.worker(cluster.tasks.machineOf(task)) != null) {
        return true;
      }
    }
    return false;
  }

  private boolean hasFreeResources(JobSpec spec) {
    return cluster.cloud.workers().stream()
        .anyMatch(
            worker ->
                spec.allows(worker.type, worker.zone, worker.spot)
                    && worker.hasFreeResources(spec.cpus()));
  }
}
