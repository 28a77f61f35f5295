package org.eiderstair.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.WorkerManager;

/**
 * The order in which waiting jobs are served: boosted jobs, then by priority, among equals those
 * within their team's guarantee, then by age.
 */
final class ServiceOrder {
  private static final int BOOSTED_PRIORITY = -1;

  private final Settings settings;
  private final Replica replica;
  private final WorkerManager workers;
  private final StarvationGuard starvationGuard;
  private final long term;
  private final StepCounter steps;
  private Set<Job> withinGuarantee = new HashSet<>();

  ServiceOrder(
      Settings settings,
      Replica replica,
      WorkerManager workers,
      StarvationGuard starvationGuard,
      long term,
      StepCounter steps) {
    this.settings = settings;
    this.replica = replica;
    this.workers = workers;
    this.starvationGuard = starvationGuard;
    this.term = term;
    this.steps = steps;
  }

  /**
   * Finds the jobs that fit into their team's guarantee together with the team's older unfinished
   * jobs.
   */
  void updateGuarantees() {
    Set<Job> within = new HashSet<>();
    Map<String, Double> cpusByTeam = new HashMap<>();
    List<Job> byAge = new ArrayList<>(replica.openJobs());
    byAge.sort(Comparator.comparing(Job::version));
    for (Job job : byAge) {
      Settings.Team team = settings.teams().get(job.spec().team());
      double cpus =
          cpusByTeam.merge(
              job.spec().team(), job.unfinishedTasks() * job.spec().cpus(), Double::sum);
      if (team != null && team.guaranteedCpus() > 0 && cpus <= team.guaranteedCpus()) {
        within.add(job);
      }
    }
    withinGuarantee = within;
  }

  /** Whether the job was within its team's guarantee when last measured. */
  boolean isWithinGuarantee(Job job) {
    return withinGuarantee.contains(job);
  }

  /**
   * Updates the effective priority of all open jobs and returns those that have something to place
   * now, in the order of service. While a machine is unconfirmed, tasks of older jobs may be
   * running there, so these jobs wait.
   */
  List<Job> jobsToPlace(long nowMicros) {
    boolean someUnconfirmed = !workers.unconfirmed().isEmpty();
    List<Job> jobs = new ArrayList<>();
    steps.add(replica.openJobs().size());
    for (Job job : replica.openJobs()) {
      job.setEffectivePriority(effectivePriority(job));
      boolean mayBeRunning = someUnconfirmed && job.version() < term;
      if (!mayBeRunning && job.mayRetry(nowMicros) && hasTaskToPlace(job)) {
        jobs.add(job);
      }
    }
    jobs.sort(Comparator.comparingInt(Job::effectivePriority).thenComparing(Job::version));
    return jobs;
  }

  private static boolean hasTaskToPlace(Job job) {
    return job.hasWaitingTasks();
  }

  /**
   * The smallest is served first. Work of low priority within a guarantee is served with the
   * ordinary work that is within one, since a guarantee holds against what other teams borrow,
   * whatever its priority.
   */
  private int effectivePriority(Job job) {
    if (starvationGuard.isBoosted(job)) {
      return BOOSTED_PRIORITY;
    }
    JobSpec.Priority priority = job.spec().priority();
    if (!isWithinGuarantee(job)) {
      return priority.ordinal() * 2 + 1;
    }
    return Math.min(priority.ordinal(), JobSpec.Priority.NORMAL.ordinal()) * 2;
  }
}
