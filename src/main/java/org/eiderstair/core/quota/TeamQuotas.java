package org.eiderstair.core.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.settings.Settings;

/**
 * The quotas of all teams: what each uses, counting everything that may run, against its limit and
 * against its guarantee, its fair share when processors are short. Kept by increments as attempts
 * come and go; a test compares it with a full count.
 */
public final class TeamQuotas {
  private final Settings settings;
  private final Map<String, TeamQuota> quotas = new HashMap<>();

  public TeamQuotas(Settings settings) {
    this.settings = settings;
  }

  private TeamQuota quota(String team) {
    TeamQuota quota = quotas.get(team);
    if (quota == null) {
      quota = new TeamQuota(settings.teams().get(team));
      quotas.put(team, quota);
    }
    return quota;
  }

  /** One more task of the team may be running. */
  public void acquire(JobSpec spec) {
    quota(spec.team()).addUse(spec, 1);
  }

  /** A task that {@link #acquire} counted can't be running any more. */
  public void release(JobSpec spec) {
    quota(spec.team()).addUse(spec, -1);
  }

  /** Nothing is assumed to run on unconfirmed machines any more. */
  public void clearUnconfirmed() {
    quotas.values().forEach(quota -> quota.unconfirmed().clear());
  }

  /** So many tasks may be running on unconfirmed machines. */
  public void addUnconfirmed(JobSpec spec, int tasks) {
    quota(spec.team()).unconfirmed().add(spec, tasks);
  }

  /** No team can have more on unconfirmed machines than those hold. */
  public void capUnconfirmed(double cpus, double accelerators) {
    quotas.values().forEach(quota -> quota.unconfirmed().capTo(cpus, accelerators));
  }

  /** Processors that all teams use together. */
  public double totalCpusInUse() {
    double cpus = 0;
    for (TeamQuota quota : quotas.values()) {
      cpus += quota.cpusInUse();
    }
    return cpus;
  }

  /** Processors that a team uses, without what unconfirmed machines may run. */
  public double cpusInUse(String team) {
    return quota(team).cpusInUse();
  }

  /** Whether one more task keeps the team's limit, whatever unconfirmed machines may run. */
  public boolean limitAllowsOneMore(JobSpec spec) {
    return quota(spec.team()).limitAllowsOneMore(spec);
  }

  /** Drops all reservations. */
  public void clearReservations() {
    quotas.values().forEach(TeamQuota::clearReservations);
  }

  /**
   * Reserves part of a team's limit for its own more urgent work, as much as that lately wanted at
   * once: else long tasks of lower priority fill the limit, and an urgent job waits for them
   * although machines are free.
   */
  public void addReservation(String team, JobSpec.Priority priority, double cpus) {
    quota(team).addReservation(priority, cpus);
  }

  /** Whether one more task leaves the team's more urgent work its reservations. */
  public boolean reservationsAllowOneMore(JobSpec spec) {
    return quota(spec.team()).reservationsAllowOneMore(spec);
  }

  /** Processors that a team uses above its guarantee; negative within it. */
  public double cpusAboveGuarantee(String team) {
    return quota(team).cpusAboveGuarantee();
  }

  /** The teams that use more than their guarantee. */
  public Set<String> teamsAboveGuarantee() {
    Set<String> above = new HashSet<>();
    quotas.forEach(
        (team, quota) -> {
          if (quota.cpusAboveGuarantee() > 0) {
            above.add(team);
          }
        });
    return above;
  }

  /** Whether the limit allows the job at all: one task of an array, every task of a service. */
  public boolean limitAllowsAtAll(JobSpec spec) {
    int tasks = spec.shape() == JobSpec.Shape.SERVICE ? spec.tasks() : 1;
    return quota(spec.team()).limitAllowsAtAll(spec, tasks);
  }
}
