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
 * Estimates for each job class how many tasks must run concurrently for its jobs to finish in time.
 * The remaining work of a job is spread over the time until the job is due, so work with slack uses
 * existing machines instead of new ones. The highest recent estimate decays slowly, because a new
 * machine takes time to boot.
 */
public final class Demand {
  /** Time constant of the exponential decay of the highest recent estimate. */
  private static final double PEAK_DECAY_MICROS = 90e6;

  /** A smaller number of tasks is ignored. */
  private static final double MIN_TASKS = 0.05;

  /** Lower bound of the CPUs of a task, which prevents a division by zero. */
  private static final double MIN_CPUS = 1e-3;

  private static final double MIN_ESTIMATE_MICROS = 1e6;

  /** A running task is assumed to need at least its estimate divided by this number. */
  private static final double MIN_REMAINING_DIVISOR = 5;

  /** A job without an objective is planned to end within this fraction of its deadline. */
  private static final double PLANNED_SHARE_OF_DEADLINE = 0.7;

  /** Default deadline of a job without one, as a multiple of its estimate. */
  private static final double DEFAULT_DEADLINE_ESTIMATE_FACTOR = 4;

  /** Added to the multiple of the estimate for the default deadline. */
  private static final long DEFAULT_DEADLINE_MICROS = 60_000_000;

  /**
   * The number of tasks of one job class that should run concurrently.
   *
   * @param spec the specification of one job of the class
   * @param tasks the number of tasks, not necessarily a whole number
   * @param currentTasks the part of {@code tasks} that open jobs need now. The rest was needed
   *     recently and does not justify an on-demand machine.
   */
  record Estimate(JobSpec spec, double tasks, double currentTasks) {}

  /** Identifies jobs that need the same kinds of machines and share one team limit. */
  private record ClassKey(String jobClass, String team, List<String> machineTypes, String zone) {
    static ClassKey of(JobSpec spec) {
      return new ClassKey(spec.jobClass(), spec.team(), spec.machineTypes(), spec.zone());
    }
  }

  /** The demand of one job class: the current demand of its open jobs and the recent peak. */
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

    /** Returns the recent peak, but at least one task if any open job needs capacity. */
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
   * Measures the demand of the open jobs and returns the estimates within the teams' CPU limits.
   * Classes that may not use spot machines come first, so that on-demand machines are assigned to
   * them first.
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
   * Reserves the recent peak demand of each class within its team's limit, so that less urgent work
   * does not use that part of the limit. Only classes with an objective on their wait for a start
   * get a reservation. For other classes their priority is sufficient. With a reservation for every
   * class, 2,400 low-priority tasks waited while 950 CPUs were free after a burst. Ordinary work
   * without a fitting machine held half of the team's limit.
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
    // Work that may not use spot machines cannot fall back on spot capacity, so on-demand capacity
    // is planned for all of its remaining tasks at once.
    double windowMicros = spec.spotAllowed() ? timeLeftMicros : 0;
    return Math.min(
        job.unfinishedTaskCount(),
        remainingMicros(job, nowMicros) / Math.max(windowMicros, estimateMicros(spec)));
  }

  private static double estimateMicros(JobSpec spec) {
    return Math.max(spec.estimateMicros(), MIN_ESTIMATE_MICROS);
  }

  /** Returns the total remaining run time of a job's tasks, based on its owner's estimate. */
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
   * Returns the planned time from the submission of a job to its end. The most pressing objective
   * determines this time. Estimates are often too low and free capacity is not always where it is
   * needed. The plan is therefore earlier when the objective allows fewer late jobs.
   */
  private double plannedMicros(JobSpec spec) {
    double planned = Double.MAX_VALUE;
    for (Settings.Objective objective : settings.objectives()) {
      double allowedMicros =
          objective.jobClass().equals(spec.jobClass()) ? allowedMicros(objective, spec) : 0;
      if (allowedMicros > 0) {
        planned = Math.min(planned, allowedMicros * (1 - objective.share() / 2));
      }
    }
    return planned < Double.MAX_VALUE ? planned : PLANNED_SHARE_OF_DEADLINE * deadlineMicros(spec);
  }

  /** Returns the time that the objective allows from submission to end; 0 if it sets none. */
  private static double allowedMicros(Settings.Objective objective, JobSpec spec) {
    return switch (objective.kind()) {
      case DEADLINE -> spec.deadlineMicros() == JobSpec.NO_DEADLINE ? 0 : spec.deadlineMicros();
      case WAIT -> objective.withinMicros() + spec.estimateMicros();
      case OTHER -> objective.withinMicros();
    };
  }

  private static double deadlineMicros(JobSpec spec) {
    return spec.deadlineMicros() != JobSpec.NO_DEADLINE
        ? spec.deadlineMicros()
        : DEFAULT_DEADLINE_ESTIMATE_FACTOR * spec.estimateMicros() + DEFAULT_DEADLINE_MICROS;
  }
}
