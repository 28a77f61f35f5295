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
 * Determines the order in which waiting jobs are served. Boosted jobs come first, then jobs by
 * priority. At the same priority, jobs within their team's guarantee come first, and then older
 * jobs.
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
   * Updates the set of jobs that are within their team's guarantee. A job is within the guarantee
   * if the guarantee covers its unfinished tasks and those of the team's older jobs together.
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
              job.spec().team(), job.unfinishedTaskCount() * job.spec().cpus(), Double::sum);
      if (team != null && team.guaranteedCpus() > 0 && cpus <= team.guaranteedCpus()) {
        within.add(job);
      }
    }
    withinGuarantee = within;
  }

  /** Returns whether the job was within its team's guarantee at the last update. */
  boolean isWithinGuarantee(Job job) {
    return withinGuarantee.contains(job);
  }

  /**
   * Updates the effective priority of all open jobs. Returns the jobs that have tasks to place now,
   * in the order of service.
   *
   * <p>Jobs older than this term wait while any machine is unconfirmed, since that machine may be
   * running their tasks.
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
   * Returns the effective priority of a job; the smallest value is served first.
   *
   * <p>Within a guarantee, low priority counts as normal priority. Such a job is served before
   * normal work of teams above their guarantees, since a guarantee holds at every priority.
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
