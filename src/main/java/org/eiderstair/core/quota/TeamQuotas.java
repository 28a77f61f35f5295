package org.eiderstair.core.quota;

import java.util.EnumMap;
import java.util.HashMap;
import java.util.Map;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.settings.Settings;

/**
 * What each team uses, counting everything that may run, against its limit and its guarantee. Kept
 * by increments as attempts come and go; a test compares it with a full count.
 */
public final class TeamQuotas {
  private static final double ROUNDING = 1e-6;
  private static final double MAX_RESERVED = 0.5;

  private static final class Use {
    double cpus;
    double accelerators;
    final Map<JobSpec.Priority, Double> byPriority = new EnumMap<>(JobSpec.Priority.class);
  }

  private static final Use NONE = new Use();

  private final Map<String, Map<JobSpec.Priority, Double>> reserves = new HashMap<>();
  private final Settings settings;
  private final Map<String, Use> uses = new HashMap<>();

  /** What machines that this term has not heard could be running, by team. */
  private final Map<String, Use> unconfirmed = new HashMap<>();

  public TeamQuotas(Settings settings) {
    this.settings = settings;
  }

  /** Adds tasks to, or with a negative number takes them from, what a team uses. */
  public void add(JobSpec spec, int tasks) {
    Use use = uses.computeIfAbsent(spec.team(), t -> new Use());
    use.cpus += spec.cpus() * tasks;
    use.accelerators += spec.accelerators() * tasks;
    use.byPriority.merge(spec.priority(), spec.cpus() * tasks, Double::sum);
  }

  /** Nothing is assumed on unconfirmed machines any more. */
  public void clearUnconfirmed() {
    unconfirmed.clear();
  }

  /** So many tasks may be on machines that have not been heard. */
  public void unconfirmed(JobSpec spec, int tasks) {
    Use use = unconfirmed.computeIfAbsent(spec.team(), t -> new Use());
    use.cpus += spec.cpus() * tasks;
    use.accelerators += spec.accelerators() * tasks;
  }

  /** No team can have more there than those machines hold. */
  public void capUnconfirmed(double cpus, double accelerators) {
    for (Use use : unconfirmed.values()) {
      use.cpus = Math.min(use.cpus, cpus);
      use.accelerators = Math.min(use.accelerators, accelerators);
    }
  }

  /** What all teams use together. */
  public double totalCpus() {
    double cpus = 0;
    for (Use use : uses.values()) {
      cpus += use.cpus;
    }
    return cpus;
  }

  /** What a team uses, without what unconfirmed machines may hold. */
  public double cpus(String team) {
    Use use = uses.get(team);
    return use == null ? 0 : use.cpus;
  }

  /** Whether one more task keeps the team's limit, whatever unconfirmed machines may hold. */
  public boolean allowsOneMore(JobSpec spec) {
    Settings.Team team = settings.teams().get(spec.team());
    if (team == null) {
      return false;
    }
    Use use = uses.getOrDefault(spec.team(), NONE);
    Use hidden = unconfirmed.getOrDefault(spec.team(), NONE);
    double cpus = use.cpus + hidden.cpus + spec.cpus();
    double accelerators = use.accelerators + hidden.accelerators + spec.accelerators();
    return (team.cpusMax() <= 0 || cpus <= team.cpusMax() + ROUNDING)
        && (team.acceleratorsMax() <= 0 || accelerators <= team.acceleratorsMax() + ROUNDING);
  }

  /** Drops all reserves. */
  public void forgetReserves() {
    reserves.clear();
  }

  /**
   * Keeps part of a team's limit for its own more urgent work, as much as that lately wanted at
   * once: else long tasks of lower priority fill the limit, and an urgent job waits for them
   * although machines are free.
   */
  public void reserve(String team, JobSpec.Priority priority, double cpus) {
    reserves
        .computeIfAbsent(team, t -> new EnumMap<>(JobSpec.Priority.class))
        .merge(priority, cpus, Double::sum);
  }

  /** Whether one more task leaves the team's more urgent work its share of the limit. */
  public boolean leavesReserve(JobSpec spec) {
    Settings.Team team = settings.teams().get(spec.team());
    Map<JobSpec.Priority, Double> kept = reserves.get(spec.team());
    if (team == null || team.cpusMax() <= 0 || kept == null) {
      return true;
    }
    Use use = uses.get(spec.team());
    double reserve = 0;
    for (Map.Entry<JobSpec.Priority, Double> e : kept.entrySet()) {
      if (e.getKey().compareTo(spec.priority()) < 0) {
        double used = use == null ? 0 : use.byPriority.getOrDefault(e.getKey(), 0.0);
        reserve += Math.max(0, e.getValue() - used);
      }
    }
    reserve = Math.min(reserve, team.cpusMax() * MAX_RESERVED);
    return (use == null ? 0 : use.cpus) + spec.cpus() <= team.cpusMax() - reserve + ROUNDING;
  }

  /** How far beyond its guarantee a team is, in processors; negative when inside. */
  public double beyondGuarantee(String name) {
    Settings.Team team = settings.teams().get(name);
    Use use = uses.get(name);
    return (use == null ? 0 : use.cpus) - (team == null ? 0 : team.cpus());
  }

  /** What the limits allow a job at all: one task of an array, every task of a service. */
  public boolean canEverHold(JobSpec spec) {
    Settings.Team team = settings.teams().get(spec.team());
    int tasks = spec.shape() == JobSpec.Shape.SERVICE ? spec.tasks() : 1;
    return team != null
        && (team.cpusMax() <= 0 || spec.cpus() * tasks <= team.cpusMax() + ROUNDING)
        && (team.acceleratorsMax() <= 0
            || spec.accelerators() * tasks <= team.acceleratorsMax() + ROUNDING);
  }
}
