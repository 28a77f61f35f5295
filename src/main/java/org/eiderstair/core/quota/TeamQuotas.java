package org.eiderstair.core.quota;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.settings.Settings;

/**
 * Tracks the resource usage of all teams against their limits and guarantees. A guarantee is the
 * team's fair share when processors are scarce.
 *
 * <p>Usage includes every task that may be running. Unconfirmed usage is that of tasks which may be
 * running on machines not yet confirmed in this term. The counters are updated incrementally as
 * attempts start and end; a test compares them with a full count.
 */
public final class TeamQuotas {
  private final Settings settings;
  private final Map<String, TeamQuota> quotas = new HashMap<>();

  public TeamQuotas(Settings settings) {
    this.settings = settings;
  }

  /** Returns the quota of a team, configured or not. */
  private TeamQuota quota(String team) {
    TeamQuota quota = quotas.get(team);
    if (quota == null) {
      quota = new TeamQuota(settings.teams().get(team));
      quotas.put(team, quota);
    }
    return quota;
  }

  /** Records that one more task of the team may be running. */
  public void acquire(JobSpec spec) {
    quota(spec.team()).addUse(spec, 1);
  }

  /** Records that a task counted by {@link #acquire} cannot be running any more. */
  public void release(JobSpec spec) {
    quota(spec.team()).addUse(spec, -1);
  }

  /** Resets the usage of unconfirmed machines to zero for all teams. */
  public void clearUnconfirmed() {
    quotas.values().forEach(quota -> quota.unconfirmed().clear());
  }

  /** Records that the given number of tasks may be running on unconfirmed machines. */
  public void addUnconfirmed(JobSpec spec, int tasks) {
    quota(spec.team()).unconfirmed().add(spec, tasks);
  }

  /** Caps each team's usage of unconfirmed machines at the total size of these machines. */
  public void capUnconfirmed(double cpus, double accelerators) {
    quotas.values().forEach(quota -> quota.unconfirmed().capTo(cpus, accelerators));
  }

  /** Returns the processors that all teams use, without unconfirmed usage. */
  public double totalCpusInUse() {
    double cpus = 0;
    for (TeamQuota quota : quotas.values()) {
      cpus += quota.cpusInUse();
    }
    return cpus;
  }

  /** Returns the processors that a team uses, without unconfirmed usage. */
  public double cpusInUse(String team) {
    return quota(team).cpusInUse();
  }

  /** Returns whether one more task is within the team's limit; unconfirmed usage counts. */
  public boolean limitAllowsOneMore(JobSpec spec) {
    return quota(spec.team()).limitAllowsOneMore(spec);
  }

  /** Removes all reservations. */
  public void clearReservations() {
    quotas.values().forEach(TeamQuota::clearReservations);
  }

  /**
   * Reserves part of a team's limit for its own tasks of one priority. Without reservations, long
   * tasks of lower priority fill the limit. An urgent job then waits for them although machines are
   * free.
   *
   * @param cpus processors that tasks of this priority recently needed at the same time; added to
   *     earlier reservations of the priority
   */
  public void addReservation(String team, JobSpec.Priority priority, double cpus) {
    quota(team).addReservation(priority, cpus);
  }

  /** Returns whether one more task leaves more urgent priorities of the team their reservations. */
  public boolean reservationsAllowOneMore(JobSpec spec) {
    return quota(spec.team()).reservationsAllowOneMore(spec);
  }

  /** Returns the processors that a team uses above its guarantee; negative if it uses fewer. */
  public double cpusAboveGuarantee(String team) {
    return quota(team).cpusAboveGuarantee();
  }

  /** Returns the teams that use more processors than their guarantee, as a new set. */
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

  /**
   * Returns whether the team's limit could ever allow the job: one task of an array job, or all
   * tasks of a service, with nothing else running.
   */
  public boolean limitAllowsAtAll(JobSpec spec) {
    int tasks = spec.shape() == JobSpec.Shape.SERVICE ? spec.tasks() : 1;
    return quota(spec.team()).limitAllowsAtAll(spec, tasks);
  }
}
