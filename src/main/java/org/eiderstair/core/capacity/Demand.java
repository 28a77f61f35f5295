package org.eiderstair.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * How many tasks of each class should run at once for its jobs to be in time. A job's remaining
 * work is spread over the time until it is due, so work with slack waits for machines that are
 * there rather than for new ones; the highest recent demand is held for a while, since a new
 * machine takes a while to come.
 */
public final class Demand {
  private static final double HOLD_MICROS = 90e6;
  private static final double EARLY = 0.7;
  private static final double NO_AIM_FACTOR = 4;
  private static final long NO_AIM_MICROS = 60_000_000;

  /**
   * So many tasks like this one should run at once. {@code pressing} of them are wanted by the work
   * at hand; the rest was lately wanted, and is not worth a dear machine.
   */
  record Wish(JobSpec spec, double tasks, double pressing) {}

  private static final class Held {
    JobSpec spec;
    double now;
    double peak;
  }

  private final Settings settings;
  private final Replica replica;
  private final Map<String, Held> classes = new LinkedHashMap<>();
  private long measuredMicros;

  public Demand(Settings settings, Replica replica) {
    this.settings = settings;
    this.replica = replica;
  }

  /** Work that may use fewer kinds of machines comes first, so that it gets those. */
  public List<Wish> measure(long nowMicros) {
    double fade = Math.exp(-(nowMicros - measuredMicros) / HOLD_MICROS);
    measuredMicros = nowMicros;
    classes.values().forEach(h -> h.now = 0);
    for (Job job : replica.open.values()) {
      JobSpec spec = job.spec();
      if (job.failedOn.size() >= 3) {
        continue;
      }
      String key =
          spec.jobClass() + " " + spec.team() + " " + spec.machineTypes() + " " + spec.zone();
      Held held = classes.computeIfAbsent(key, k -> new Held());
      held.spec = spec;
      held.now += atOnce(job, work(job, nowMicros), planned(spec) - (nowMicros - job.seenMicros));
    }
    List<Wish> wishes = new ArrayList<>();
    Map<String, Double> teams = new LinkedHashMap<>();
    for (Held held : classes.values()) {
      held.peak = Math.max(held.now, held.peak * fade);
      Settings.Team team = settings.teams().get(held.spec.team());
      double limit = team == null || team.cpusMax() <= 0 ? Double.MAX_VALUE : team.cpusMax();
      double used = teams.getOrDefault(held.spec.team(), 0.0);
      // However much slack there is, work needs at least one place to run.
      double wanted = held.now > 0 ? Math.max(1, held.peak) : held.peak;
      double tasks = Math.min(wanted, (limit - used) / Math.max(held.spec.cpus(), 1e-3));
      teams.put(held.spec.team(), used + tasks * held.spec.cpus());
      if (tasks > 0.05) {
        double pressing = held.now > 0 ? Math.max(1, held.now) : 0;
        wishes.add(new Wish(held.spec, tasks, Math.min(tasks, pressing)));
      }
    }
    wishes.sort(Comparator.comparing((Wish w) -> w.spec().spotAllowed()));
    return wishes;
  }

  /**
   * What each class lately wanted at once, for its team to keep from less urgent work. Only classes
   * whose start is waited for: for the others their priority is enough. Seen after a burst: 2,400
   * tasks of low priority stood still beside 950 free processors, since ordinary work that found no
   * fitting machine kept half of the team's limit.
   */
  public void reserve(TeamQuotas teams) {
    for (Held held : classes.values()) {
      if (!startIsWaitedFor(held.spec)) {
        continue;
      }
      teams.reserve(held.spec.team(), held.spec.priority(), held.peak * held.spec.cpus());
    }
  }

  private boolean startIsWaitedFor(JobSpec spec) {
    return settings.objectives().stream()
        .anyMatch(o -> o.kind().equals("wait") && o.jobClass().equals(spec.jobClass()));
  }

  /** What is left to be run of a job, as its owner estimates it. */
  private static double work(Job job, long nowMicros) {
    double estimate = Math.max(job.spec().estimateMicros(), 1e6);
    double work = job.waiting() * estimate;
    for (Attempt a : job.active.values()) {
      boolean runs = a.reportedState == Heartbeat.TaskState.RUNNING;
      double left = runs ? estimate - (nowMicros - a.runningSinceMicros) : estimate;
      work += Math.max(left, estimate / 5);
    }
    return work;
  }

  private static double atOnce(Job job, double work, double windowMicros) {
    JobSpec spec = job.spec();
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return spec.tasks();
    }
    // Work that may not use cheap machines cannot borrow their room: what it wants at once is kept
    // there for it.
    double window = spec.spotAllowed() ? windowMicros : 0;
    return Math.min(
        job.unfinished(), work / Math.max(window, Math.max(spec.estimateMicros(), 1e6)));
  }

  /**
   * How long after its submission a job's work is planned to be over: early enough for its first
   * aim. Estimates are often too low and room is not always where it is needed, so the fewer jobs
   * may be late, the earlier.
   */
  private double planned(JobSpec spec) {
    double planned = Double.MAX_VALUE;
    for (Settings.Objective o : settings.objectives()) {
      if (!o.jobClass().equals(spec.jobClass())) {
        continue;
      }
      double within =
          switch (o.kind()) {
            case "deadline" ->
                spec.deadlineMicros() == JobSpec.NO_DEADLINE ? 0 : spec.deadlineMicros();
            case "wait" -> o.withinMicros() + spec.estimateMicros();
            default -> o.withinMicros();
          };
      if (within > 0) {
        planned = Math.min(planned, within * (1 - o.share() / 2));
      }
    }
    if (planned < Double.MAX_VALUE) {
      return planned;
    }
    return EARLY
        * (spec.deadlineMicros() != JobSpec.NO_DEADLINE
            ? spec.deadlineMicros()
            : NO_AIM_FACTOR * spec.estimateMicros() + NO_AIM_MICROS);
  }
}
