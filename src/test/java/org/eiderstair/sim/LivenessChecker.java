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
  private static final long SECOND = 1_000_000;
  private static final long MAX_WAIT_BESIDE_ROOM = 90 * SECOND;
  private static final long MAX_SILENCE = 75 * SECOND;
  private static final long MAX_LARGE_JOB_DELAY = 240 * SECOND;

  private final SimulatedCluster cluster;

  /** Since when a job has waited while a task of its size would have found room. */
  private final Map<String, Long> waitingSinceMicros = new HashMap<>();

  /** Jobs that have begun, and large ones that were found not to. */
  private final Set<String> begun = new HashSet<>();

  /** When a question about a job was last answered. */
  private final Map<String, Long> answeredMicros = new HashMap<>();

  private long faultsOverMicros;

  LivenessChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void start() {
    checkLargestBegin();
  }

  /** From now on nothing fails. */
  void faultsAreOver() {
    faultsOverMicros = cluster.clock.now();
    checkWaitingJobs();
  }

  /** A user was answered in which phase the job is. */
  void answered(String job) {
    answeredMicros.put(job, cluster.clock.now());
  }

  void started(String job) {
    waitingSinceMicros.remove(job);
    begun.add(job);
  }

  private void checkLargestBegin() {
    cluster.clock.after(SECOND, this::checkLargestBegin);
    for (String job : cluster.users.accepted()) {
      if (cluster.users.spec(job).tasks() > cluster.size.tasks() * 3 / 4
          && !cluster.users.cancelRequested(job)
          && cluster.clock.now() > cluster.users.submittedAtMicros(job) + MAX_LARGE_JOB_DELAY
          && begun.add(job)) {
        cluster.rules.broken(Rule.LARGEST_DELAYED, job + " does not begin");
      }
    }
  }

  private void checkWaitingJobs() {
    cluster.clock.after(SECOND, this::checkWaitingJobs);
    for (String job : cluster.users.accepted()) {
      checkAnswered(job);
      checkDoesNotWaitBesideRoom(job);
    }
  }

  private void checkAnswered(String job) {
    long unansweredSince = Math.max(faultsOverMicros, answeredMicros.getOrDefault(job, 0L));
    if (cluster.clock.now() > unansweredSince + MAX_SILENCE) {
      cluster.rules.broken(Rule.UNANSWERED, job);
      answered(job);
    }
  }

  private void checkDoesNotWaitBesideRoom(String job) {
    long now = cluster.clock.now();
    if (!waitsBesideRoom(job)) {
      waitingSinceMicros.remove(job);
    } else if (now > waitingSinceMicros.computeIfAbsent(job, id -> now) + MAX_WAIT_BESIDE_ROOM) {
      cluster.rules.broken(Rule.WAITS_BESIDE_ROOM, job);
      waitingSinceMicros.remove(job);
    }
  }

  private boolean waitsBesideRoom(String job) {
    SimulatedUsers users = cluster.users;
    JobSpec spec = users.spec(job);
    return !users.ended(job)
        && !cluster.tasks.allCompleted(job)
        && !users.cancelRequested(job)
        && !users.alwaysFails(job)
        && !runsSomewhere(job)
        && cluster.tasks.teamCpus(spec.team()) + spec.cpus()
            <= cluster.size.limit() + RuleChecker.ROUNDING
        && hasFreeResources(spec);
  }

  private boolean runsSomewhere(String job) {
    for (TaskId task : cluster.tasks.runningOf(job)) {
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
