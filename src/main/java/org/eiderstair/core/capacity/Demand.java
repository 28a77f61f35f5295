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
 * Estimates for each class of jobs how many of its tasks should run at once for its jobs to be in
 * time. A job's remaining work is spread over the time until it is due, so work with slack waits
 * for machines that are there rather than for new ones. The highest recent estimate decays slowly,
 * since a new machine takes a while to come.
 */
public final class Demand {
  private static final double PEAK_DECAY_MICROS = 90e6;

  /** Fewer tasks than this are no demand. */
  private static final double MIN_TASKS = 0.05;

  private static final double MIN_CPUS = 1e-3;
  private static final double MIN_ESTIMATE_MICROS = 1e6;

  /** However long a task has run, it is taken to need this part of its estimate still. */
  private static final double MIN_REMAINING_DIVISOR = 5;

  /** A job without an objective is planned to end in this part of the time it has. */
  private static final double PLANNED_SHARE_OF_DEADLINE = 0.7;

  /** The time of a job with neither objective nor deadline, by its estimate. */
  private static final double DEFAULT_DEADLINE_ESTIMATES = 4;

  private static final long DEFAULT_DEADLINE_MICROS = 60_000_000;

  /**
   * So many tasks like those of {@code spec} should run at once.
   *
   * @param currentTasks how many of them the work at hand needs; the rest was needed lately, and is
   *     not worth an on-demand machine
   */
  record Estimate(JobSpec spec, double tasks, double currentTasks) {}

  /** Jobs of one key need machines of the same kinds and use the same limit. */
  private record ClassKey(String jobClass, String team, List<String> machineTypes, String zone) {
    static ClassKey of(JobSpec spec) {
      return new ClassKey(spec.jobClass(), spec.team(), spec.machineTypes(), spec.zone());
    }
  }

  /** The demand of one class: what its open jobs need now, and the highest of late. */
  private static final class ClassDemand {
    private JobSpec spec;
    private double currentTasks;
    private double peakTasks;

    void beginMeasurement() {
      currentTasks = 0;
    }

    void add(JobSpec latestSpec, double tasks) {
      spec = latestSpec;
      currentTasks += tasks;
    }

    void endMeasurement(double decay) {
      peakTasks = Math.max(currentTasks, peakTasks * decay);
    }

    /** However much slack there is, work needs at least one place to run. */
    double wantedTasks() {
      return currentTasks > 0 ? Math.max(1, peakTasks) : peakTasks;
    }

    Estimate estimate(double tasks) {
      double current = currentTasks > 0 ? Math.max(1, currentTasks) : 0;
      return new Estimate(spec, tasks, Math.min(tasks, current));
    }

    double peakCpus() {
      return peakTasks * spec.cpus();
    }
  }

  private final Settings settings;
  private final Replica replica;
  private final Map<ClassKey, ClassDemand> classes = new LinkedHashMap<>();
  private long measuredMicros;

  public Demand(Settings settings, Replica replica) {
    this.settings = settings;
    this.replica = replica;
  }

  /**
   * Measures the demand of the open jobs and estimates what should run at once, within the teams'
   * limits. Work that may not use spot machines comes first, so that it gets the others.
   */
  public List<Estimate> measure(long nowMicros) {
    double decay = Math.exp(-(nowMicros - measuredMicros) / PEAK_DECAY_MICROS);
    measuredMicros = nowMicros;
    classes.values().forEach(ClassDemand::beginMeasurement);
    for (Job job : replica.openJobs()) {
      if (!job.isLikelyFaulty()) {
        classes
            .computeIfAbsent(ClassKey.of(job.spec()), key -> new ClassDemand())
            .add(job.spec(), tasksAtOnce(job, nowMicros));
      }
    }
    classes.values().forEach(demand -> demand.endMeasurement(decay));
    List<Estimate> estimates = estimatesWithinLimits();
    estimates.sort(Comparator.comparing((Estimate estimate) -> estimate.spec().spotAllowed()));
    return estimates;
  }

  private List<Estimate> estimatesWithinLimits() {
    List<Estimate> estimates = new ArrayList<>();
    Map<String, Double> cpusByTeam = new LinkedHashMap<>();
    for (ClassDemand demand : classes.values()) {
      JobSpec spec = demand.spec;
      double teamCpus = cpusByTeam.getOrDefault(spec.team(), 0.0);
      double allowed = (cpuLimit(spec.team()) - teamCpus) / Math.max(spec.cpus(), MIN_CPUS);
      double tasks = Math.min(demand.wantedTasks(), allowed);
      cpusByTeam.put(spec.team(), teamCpus + tasks * spec.cpus());
      if (tasks > MIN_TASKS) {
        estimates.add(demand.estimate(tasks));
      }
    }
    return estimates;
  }

  private double cpuLimit(String name) {
    Settings.Team team = settings.teams().get(name);
    return team == null || team.maxCpus() <= 0 ? Double.MAX_VALUE : team.maxCpus();
  }

  /**
   * Reserves for each class what it lately needed at once, so that its team keeps it from less
   * urgent work. Only classes whose wait for a start has an objective: for the others their
   * priority is enough. Seen after a burst: 2,400 tasks of low priority waited beside 950 free
   * processors, since ordinary work that found no fitting machine kept half of the team's limit.
   */
  public void reserve(TeamQuotas quotas) {
    for (ClassDemand demand : classes.values()) {
      JobSpec spec = demand.spec;
      if (hasWaitObjective(spec)) {
        quotas.addReservation(spec.team(), spec.priority(), demand.peakCpus());
      }
    }
  }

  private boolean hasWaitObjective(JobSpec spec) {
    for (Settings.Objective objective : settings.objectives()) {
      if (objective.kind() == Settings.Objective.Kind.WAIT
          && objective.jobClass().equals(spec.jobClass())) {
        return true;
      }
    }
    return false;
  }

  private double tasksAtOnce(Job job, long nowMicros) {
    JobSpec spec = job.spec();
    if (spec.shape() == JobSpec.Shape.SERVICE) {
      return spec.tasks();
    }
    double timeLeftMicros = plannedMicros(spec) - (nowMicros - job.submittedMicros());
    // Work that may not use spot machines can't borrow their room: what it needs at once is kept
    // there for it.
    double windowMicros = spec.spotAllowed() ? timeLeftMicros : 0;
    return Math.min(
        job.unfinishedTaskCount(),
        remainingMicros(job, nowMicros) / Math.max(windowMicros, estimateMicros(spec)));
  }

  private static double estimateMicros(JobSpec spec) {
    return Math.max(spec.estimateMicros(), MIN_ESTIMATE_MICROS);
  }

  /** The remaining running time of all tasks of a job, as its owner estimates it. */
  private static double remainingMicros(Job job, long nowMicros) {
    double estimate = estimateMicros(job.spec());
    double remaining = job.freeTaskCount() * estimate;
    for (Attempt attempt : job.attempts()) {
      boolean running = attempt.reportedState() == Heartbeat.TaskState.RUNNING;
      double left = running ? estimate - (nowMicros - attempt.runningSinceMicros()) : estimate;
      remaining += Math.max(left, estimate / MIN_REMAINING_DIVISOR);
    }
    return remaining;
  }

  /**
   * How long after its submission a job is planned to be done: early enough for its most pressing
   * objective. Estimates are often too low and room is not always where it is needed, so the fewer
   * jobs may be late, the earlier.
   */
  private double plannedMicros(JobSpec spec) {
    double planned = Double.MAX_VALUE;
    for (Settings.Objective objective : settings.objectives()) {
      double within = objective.jobClass().equals(spec.jobClass()) ? within(objective, spec) : 0;
      if (within > 0) {
        planned = Math.min(planned, within * (1 - objective.share() / 2));
      }
    }
    return planned < Double.MAX_VALUE ? planned : PLANNED_SHARE_OF_DEADLINE * deadlineMicros(spec);
  }

  /** The time that the objective gives a job from submission to end; 0 if none. */
  private static double within(Settings.Objective objective, JobSpec spec) {
    return switch (objective.kind()) {
      case DEADLINE -> spec.deadlineMicros() == JobSpec.NO_DEADLINE ? 0 : spec.deadlineMicros();
      case WAIT -> objective.withinMicros() + spec.estimateMicros();
      case OTHER -> objective.withinMicros();
    };
  }

  private static double deadlineMicros(JobSpec spec) {
    return spec.deadlineMicros() != JobSpec.NO_DEADLINE
        ? spec.deadlineMicros()
        : DEFAULT_DEADLINE_ESTIMATES * spec.estimateMicros() + DEFAULT_DEADLINE_MICROS;
  }
}
