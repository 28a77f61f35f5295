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
 * Which jobs go ahead of their turn, since their class or team would be left behind for ever. The
 * order of service is strict, so more urgent work than there is room for would keep everything else
 * waiting until its end. Who is behind gets a bounded part of the processors as they come free, and
 * nothing is stopped for it; as long as every class and team is served, this changes nothing.
 * docs/design.md, "Nobody left behind".
 */
final class StarvationGuard {
  private static final long EVERY_MICROS = 1_000_000;

  /** A machine's boot, and a burst, are no reason yet. */
  private static final long WAITS_MICROS = 90_000_000;

  /**
   * Every job is to begin within four minutes: so long before, it goes ahead whatever the rest of
   * its class does.
   */
  private static final long MAX_MICROS = 150_000_000;

  private static final double REMEMBERED_MICROS = 300e6;

  /**
   * Behind is who has begun fewer than this part of its jobs; above a half, so that it does not
   * come to that.
   */
  private static final double LEAST_BEGUN = 0.6;

  /** Of all processors, for work that goes ahead: who is urgent keeps at least the other half. */
  private static final double MAX_PART = 0.5;

  /** What a class or a team has begun lately, and what of it waits for long. */
  private static final class Tally {
    double begun;
    int waiting;

    double share() {
      return begun / (begun + waiting);
    }

    boolean behind() {
      return waiting > 0 && share() < LEAST_BEGUN;
    }
  }

  private final Consumer<String> log;
  private final Map<String, Tally> classes = new HashMap<>();
  private final Map<String, Tally> teams = new HashMap<>();
  private Set<Job> ahead = Set.of();
  private Set<String> behind = Set.of();
  private long measuredMicros;

  StarvationGuard(Consumer<String> log) {
    this.log = log;
  }

  /** The first task of a job has been placed. */
  void begun(Job job) {
    tally(classes, job.spec().jobClass()).begun++;
    tally(teams, job.spec().team()).begun++;
  }

  private static Tally tally(Map<String, Tally> of, String name) {
    return of.computeIfAbsent(name, n -> new Tally());
  }

  /**
   * Whether a job goes before all others, and past what is kept for more urgent classes; limits
   * hold for it as for all.
   */
  boolean goesAhead(Job job) {
    return ahead.contains(job);
  }

  /**
   * @param cpus of all machines in use; asked for only where something waits
   */
  void measure(Collection<Job> open, DoubleSupplier cpus, long nowMicros) {
    if (nowMicros < measuredMicros + EVERY_MICROS) {
      return;
    }
    double fade = Math.exp(-(nowMicros - measuredMicros) / REMEMBERED_MICROS);
    measuredMicros = nowMicros;
    List<Map<String, Tally>> kinds = List.of(classes, teams);
    kinds.forEach(
        kind ->
            kind.values()
                .forEach(
                    t -> {
                      t.begun *= fade;
                      t.waiting = 0;
                    }));
    List<Job> waiting = new ArrayList<>();
    for (Job job : open) {
      if (!job.begun
          && nowMicros >= job.seenMicros + WAITS_MICROS
          && nowMicros >= job.notBeforeMicros) {
        waiting.add(job);
        tally(classes, job.spec().jobClass()).waiting++;
        tally(teams, job.spec().team()).waiting++;
      }
    }
    noteBehind();
    choose(waiting, waiting.isEmpty() ? 0 : cpus.getAsDouble() * MAX_PART, nowMicros);
  }

  private void noteBehind() {
    Set<String> now = new HashSet<>();
    classes.forEach((name, t) -> note(now, "class " + name, t, classes));
    teams.forEach((name, t) -> note(now, "team " + name, t, teams));
    now.stream()
        .filter(name -> !behind.contains(name))
        .sorted()
        .forEach(name -> log.accept(name + " is left behind"));
    behind.stream()
        .filter(name -> !now.contains(name))
        .sorted()
        .forEach(name -> log.accept(name + " is served again"));
    behind = now;
  }

  /** Where nobody is served, as before the first machine is up, nobody is behind. */
  private static void note(Set<String> now, String name, Tally t, Map<String, Tally> kind) {
    if (t.behind()
        && kind.values().stream().anyMatch(o -> o != t && !o.behind() && o.begun > t.begun)) {
      now.add(name);
    }
  }

  /**
   * Who goes ahead does so until it is done; others follow while there is room for them in the
   * bound. Those that can still begin in time go first: with more work than room, oldest first
   * would make every one of them late.
   */
  private void choose(List<Job> waiting, double most, long nowMicros) {
    Set<Job> next = new LinkedHashSet<>();
    double taken = 0;
    for (Job job : ahead) {
      if (job.open() && job.unfinished() > 0) {
        next.add(job);
        taken += job.unfinished() * job.spec().cpus();
      }
    }
    waiting.sort(Comparator.comparing((Job j) -> isLate(j, nowMicros)).thenComparing(Job::version));
    for (Job job : waiting) {
      if (taken >= most) {
        break;
      }
      if (isLate(job, nowMicros)
          || behind.contains("class " + job.spec().jobClass())
          || behind.contains("team " + job.spec().team())) {
        taken += next.add(job) ? job.unfinished() * job.spec().cpus() : 0;
      }
    }
    ahead = next;
  }

  private static boolean isLate(Job job, long nowMicros) {
    return nowMicros >= job.seenMicros + MAX_MICROS;
  }

  /** For the leader's line of figures. */
  String summary() {
    return ahead.isEmpty() && behind.isEmpty()
        ? ""
        : ", behind " + behind + ", ahead " + ahead.size();
  }
}
