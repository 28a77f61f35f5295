package org.eiderstair.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.TaskId;

/**
 * The rules about what must happen in time: large jobs begin; and once all faults are over, no job
 * waits for long beside room, and questions are answered.
 */
final class LivenessChecker {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long MAX_WAIT_WITH_FREE_RESOURCES_MICROS = 90 * SECOND_MICROS;
  private static final long MAX_UNANSWERED_MICROS = 75 * SECOND_MICROS;
  private static final long MAX_LARGE_JOB_START_DELAY_MICROS = 240 * SECOND_MICROS;

  private final SimulatedCluster cluster;

  /** Since when a job has waited while a task of its size would have found room. */
  private final Map<String, Long> waitingSinceMicros = new HashMap<>();

  /** Jobs that have startedOrReported, and large ones that were found not to. */
  private final Set<String> startedOrReported = new HashSet<>();

  /** When a question about a job was last answered. */
  private final Map<String, Long> lastAnsweredMicros = new HashMap<>();

  private long faultsOverAtMicros;

  LivenessChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void start() {
    checkLargestJobsStart();
  }

  /** From now on nothing fails. */
  void onFaultsOver() {
    faultsOverAtMicros = cluster.clock.now();
    checkAcceptedJobs();
  }

  /** A user was answered in which phase the job is. */
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
        cluster.rules.recordViolation(Rule.LARGEST_DELAYED, job + " does not begin");
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
