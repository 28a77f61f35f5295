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
 * Selects jobs to be boosted, that is served before all others, so that no class and no team
 * starves. The order of service is strict, so more urgent work than there is room for would keep
 * everything else waiting until its end. Boosted jobs get a bounded share of the processors as they
 * become free, and nothing is preempted for them; as long as every class and team is served, no job
 * is boosted. See docs/design.md, "Starvation".
 */
final class StarvationGuard {
  private static final long UPDATE_INTERVAL_MICROS = 1_000_000;

  /** A shorter wait is explained by a booting machine or a burst. */
  private static final long LONG_WAIT_MICROS = 90_000_000;

  /**
   * Every job should start within four minutes: after this wait it is boosted even if its class and
   * team are served.
   */
  private static final long LATE_START_MICROS = 150_000_000;

  /** Time constant of the exponential decay of the counts of started jobs. */
  private static final double DECAY_MICROS = 300e6;

  /**
   * A class or team that has started a smaller share of its jobs is starving; above a half, so that
   * it is boosted before it falls that low.
   */
  private static final double MIN_STARTED_SHARE = 0.6;

  /** Of all processors, for boosted jobs: urgent work keeps at least the other half. */
  private static final double MAX_BOOSTED_SHARE = 0.5;

  /** How many jobs of a class or a team have started lately, and how many wait for long. */
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

  /** Starving classes and teams by the names under which the log shows them. */
  private Set<String> starving = Set.of();

  private long updatedMicros;

  StarvationGuard(Consumer<String> log) {
    this.log = log;
  }

  /** The first task of a job has been placed. */
  void noteStarted(Job job) {
    recordOf(classes, job.spec().jobClass()).started++;
    recordOf(teams, job.spec().team()).started++;
  }

  private static ServiceRecord recordOf(Map<String, ServiceRecord> records, String name) {
    return records.computeIfAbsent(name, key -> new ServiceRecord());
  }

  /**
   * Whether a job is served before all others, and may use what is reserved for more urgent
   * classes. Quota limits hold for it as for all.
   */
  boolean isBoosted(Job job) {
    return boosted.contains(job);
  }

  /**
   * Finds starving classes and teams and selects the jobs to be boosted, at most once a second.
   *
   * @param cpusInUse processors of all machines in use; computed only where something waits
   */
  void update(Collection<Job> openJobs, DoubleSupplier cpusInUse, long nowMicros) {
    if (nowMicros < updatedMicros + UPDATE_INTERVAL_MICROS) {
      return;
    }
    double decay = Math.exp(-(nowMicros - updatedMicros) / DECAY_MICROS);
    updatedMicros = nowMicros;
    classes.values().forEach(record -> record.beginUpdate(decay));
    teams.values().forEach(record -> record.beginUpdate(decay));
    List<Job> waiting = countWaiting(openJobs, nowMicros);
    updateStarving();
    double maxCpus = waiting.isEmpty() ? 0 : cpusInUse.getAsDouble() * MAX_BOOSTED_SHARE;
    selectBoosted(waiting, maxCpus, nowMicros);
  }

  private List<Job> countWaiting(Collection<Job> openJobs, long nowMicros) {
    List<Job> waiting = new ArrayList<>();
    for (Job job : openJobs) {
      if (waitsForLong(job, nowMicros)) {
        waiting.add(job);
        recordOf(classes, job.spec().jobClass()).waiting++;
        recordOf(teams, job.spec().team()).waiting++;
      }
    }
    return waiting;
  }

  private static boolean waitsForLong(Job job, long nowMicros) {
    return !job.hasStarted()
        && nowMicros >= job.submittedMicros() + LONG_WAIT_MICROS
        && job.mayRetry(nowMicros);
  }

  private void updateStarving() {
    Set<String> now = new HashSet<>();
    addStarving(now, "class=", classes);
    addStarving(now, "team=", teams);
    logDifference(now, starving, " is starving");
    logDifference(starving, now, " is no longer starving");
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

  /** Where nobody is served, as before the first machine is up, nobody is starving. */
  private static boolean anotherIsServedBetter(
      ServiceRecord record, Collection<ServiceRecord> records) {
    return records.stream()
        .anyMatch(
            other -> other != record && !other.isStarving() && other.started > record.started);
  }

  private void logDifference(Set<String> names, Set<String> without, String message) {
    names.stream()
        .filter(name -> !without.contains(name))
        .sorted()
        .forEach(name -> log.accept(name + message));
  }

  /**
   * A boosted job stays boosted until it is done; others follow while the bound has room for them.
   * Those that can still start in time go first: with more work than room, oldest first would make
   * every one of them late.
   */
  private void selectBoosted(List<Job> waiting, double maxCpus, long nowMicros) {
    Set<Job> selected = new LinkedHashSet<>();
    double cpus = 0;
    for (Job job : boosted) {
      if (job.isOpen() && job.unfinishedTasks() > 0) {
        selected.add(job);
        cpus += unfinishedCpus(job);
      }
    }
    waiting.sort(
        Comparator.comparing((Job job) -> startsLate(job, nowMicros)).thenComparing(Job::version));
    for (Job job : waiting) {
      if (cpus >= maxCpus) {
        break;
      }
      if ((startsLate(job, nowMicros) || belongsToStarving(job)) && selected.add(job)) {
        cpus += unfinishedCpus(job);
      }
    }
    boosted = selected;
  }

  private boolean belongsToStarving(Job job) {
    return starving.contains("class=" + job.spec().jobClass())
        || starving.contains("team=" + job.spec().team());
  }

  private static double unfinishedCpus(Job job) {
    return job.unfinishedTasks() * job.spec().cpus();
  }

  private static boolean startsLate(Job job, long nowMicros) {
    return nowMicros >= job.submittedMicros() + LATE_START_MICROS;
  }

  /** The part of the leader's status line about starvation; empty while no job is boosted. */
  String summary() {
    return boosted.isEmpty() && starving.isEmpty()
        ? ""
        : ", starving " + starving + ", boosted jobs " + boosted.size();
  }
}
