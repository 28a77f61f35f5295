package org.eiderstair.core.placement;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.DoubleSupplier;
import org.eiderstair.core.model.Job;

/**
 * Selects jobs to boost so that no job class and no team starves. A boosted job is served before
 * all others.
 *
 * <p>The order of service is strict. Without boosting, an excess of urgent work would keep all
 * other jobs waiting until it ends. Boosted jobs get a bounded share of the processors as these
 * become free. Boosting alone does not preempt any task.
 *
 * <p>A job whose class and team are not starving is boosted only when its start is overdue. See
 * docs/design.md, "Starvation".
 */
final class StarvationGuard {
  private static final long UPDATE_INTERVAL_MICROS = 1_000_000;

  /** A job counts as waiting after this time; machine boots and bursts explain shorter waits. */
  private static final long LONG_WAIT_MICROS = 90_000_000;

  /**
   * After this wait a job is boosted even if its class and team are served, since every job should
   * start within four minutes.
   */
  private static final long START_OVERDUE_MICROS = 150_000_000;

  /** Time constant of the exponential decay of the counts of started jobs. */
  private static final double DECAY_TIME_CONSTANT_MICROS = 300e6;

  /**
   * A class or team that has started a smaller share of its jobs is starving. The value is above
   * one half so that boosting begins before the share falls to one half.
   */
  private static final double MIN_STARTED_SHARE = 0.6;

  /**
   * No further job is boosted once boosted jobs need this share of all processors. The other half
   * is kept for urgent work.
   */
  private static final double MAX_BOOSTED_SHARE = 0.5;

  /** Counts of the jobs of one class or team that started recently and that wait for long. */
  private static final class ServiceRecord {
    double started;
    int waiting;

    double startedShare() {
      return started / (started + waiting);
    }

    boolean isStarving() {
      return waiting > 0 && startedShare() < MIN_STARTED_SHARE;
    }

    void beginUpdate(double decay) {
      started *= decay;
      waiting = 0;
    }
  }

  private final Consumer<String> log;
  private final Map<String, ServiceRecord> classes = new HashMap<>();
  private final Map<String, ServiceRecord> teams = new HashMap<>();
  private Set<Job> boosted = Set.of();

  /** Starving classes and teams, as {@code class=name} and {@code team=name}. */
  private Set<String> starving = Set.of();

  private long updatedMicros;

  StarvationGuard(Consumer<String> log) {
    this.log = log;
  }

  /** Records that the first task of a job has been placed. */
  void recordStarted(Job job) {
    recordOf(classes, job.spec().jobClass()).started++;
    recordOf(teams, job.spec().team()).started++;
  }

  private static ServiceRecord recordOf(Map<String, ServiceRecord> records, String name) {
    return records.computeIfAbsent(name, key -> new ServiceRecord());
  }

  /**
   * Returns whether the job is boosted: it is served before all others and may use resources
   * reserved for more urgent priorities. The limit of its team still applies.
   */
  boolean isBoosted(Job job) {
    return boosted.contains(job);
  }

  /**
   * Updates the starving classes and teams and selects the jobs to boost, at most once a second.
   *
   * @param usableCpus supplies the total processors of all usable machines; called only if a job
   *     has been waiting for long
   */
  void update(Collection<Job> openJobs, DoubleSupplier usableCpus, long nowMicros) {
    if (nowMicros < updatedMicros + UPDATE_INTERVAL_MICROS) {
      return;
    }
    double decay = Math.exp(-(nowMicros - updatedMicros) / DECAY_TIME_CONSTANT_MICROS);
    updatedMicros = nowMicros;
    classes.values().forEach(record -> record.beginUpdate(decay));
    teams.values().forEach(record -> record.beginUpdate(decay));
    List<Job> waiting = countWaiting(openJobs, nowMicros);
    updateStarving();
    double maxCpus = waiting.isEmpty() ? 0 : usableCpus.getAsDouble() * MAX_BOOSTED_SHARE;
    selectBoosted(waiting, maxCpus, nowMicros);
  }

  /** Returns the jobs that have been waiting for long, and counts each for its class and team. */
  private List<Job> countWaiting(Collection<Job> openJobs, long nowMicros) {
    List<Job> waiting = new ArrayList<>();
    for (Job job : openJobs) {
      if (hasWaitedLong(job, nowMicros)) {
        waiting.add(job);
        recordOf(classes, job.spec().jobClass()).waiting++;
        recordOf(teams, job.spec().team()).waiting++;
      }
    }
    return waiting;
  }

  private static boolean hasWaitedLong(Job job, long nowMicros) {
    return !job.hasStarted()
        && nowMicros >= job.submittedMicros() + LONG_WAIT_MICROS
        && job.mayRetry(nowMicros);
  }

  /** Updates the set of starving classes and teams, and logs each change. */
  private void updateStarving() {
    Set<String> now = new HashSet<>();
    addStarving(now, "class=", classes);
    addStarving(now, "team=", teams);
    logNewNames(now, starving, " is starving");
    logNewNames(starving, now, " is no longer starving");
    starving = now;
  }

  private static void addStarving(
      Set<String> names, String prefix, Map<String, ServiceRecord> records) {
    records.forEach(
        (name, record) -> {
          if (record.isStarving() && anotherIsServedBetter(record, records.values())) {
            names.add(prefix + name);
          }
        });
  }

  /**
   * Returns whether another class or team is not starving and has started more jobs. When no job
   * has started, as before the first machine is up, no class or team is starving.
   */
  private static boolean anotherIsServedBetter(
      ServiceRecord record, Collection<ServiceRecord> records) {
    return records.stream()
        .anyMatch(
            other -> other != record && !other.isStarving() && other.started > record.started);
  }

  private void logNewNames(Set<String> names, Set<String> excluded, String message) {
    names.stream()
        .filter(name -> !excluded.contains(name))
        .sorted()
        .forEach(name -> log.accept(name + message));
  }

  /**
   * Selects the jobs to boost. A boosted job stays boosted until all its tasks are completed.
   * Waiting jobs are added until the boosted jobs reach {@code maxCpus}.
   *
   * <p>Jobs that can still start in time come before overdue jobs. When there is more work than
   * capacity, serving the oldest job first would make every job late.
   */
  private void selectBoosted(List<Job> waiting, double maxCpus, long nowMicros) {
    Set<Job> selected = new LinkedHashSet<>();
    double cpus = 0;
    for (Job job : boosted) {
      if (job.isOpen() && job.unfinishedTaskCount() > 0) {
        selected.add(job);
        cpus += unfinishedCpus(job);
      }
    }
    waiting.sort(
        Comparator.comparing((Job job) -> isStartOverdue(job, nowMicros))
            .thenComparing(Job::version));
    for (Job job : waiting) {
      if (cpus >= maxCpus) {
        break;
      }
      if ((isStartOverdue(job, nowMicros) || belongsToStarvingGroup(job)) && selected.add(job)) {
        cpus += unfinishedCpus(job);
      }
    }
    boosted = selected;
  }

  private boolean belongsToStarvingGroup(Job job) {
    return starving.contains("class=" + job.spec().jobClass())
        || starving.contains("team=" + job.spec().team());
  }

  private static double unfinishedCpus(Job job) {
    return job.unfinishedTaskCount() * job.spec().cpus();
  }

  private static boolean isStartOverdue(Job job, long nowMicros) {
    return nowMicros >= job.submittedMicros() + START_OVERDUE_MICROS;
  }

  /**
   * Returns the part of the leader's status line about starvation; empty if no class or team is
   * starving and no job is boosted.
   */
  String summary() {
    return boosted.isEmpty() && starving.isEmpty()
        ? ""
        : ", starving " + starving + ", boosted jobs " + boosted.size();
  }
}
