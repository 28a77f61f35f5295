package org.eiderstair.core.quota;

import java.util.Arrays;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.settings.Settings;

/** The limit, guarantee and reservations of one team, and its usage. */
final class TeamQuota {
  private static final int PRIORITIES = JobSpec.Priority.values().length;

  /** Largest share of a team's processor limit that all reservations together may take. */
  private static final double MAX_RESERVED_SHARE = 0.5;

  /** Null for a team that is not configured, which may use nothing. */
  private final ResourceLimit limit;

  private final double guaranteedCpus;
  private final ResourceUse use = new ResourceUse();
  private final double[] usedCpusByPriority = new double[PRIORITIES];

  /** Resources that tasks on machines not yet confirmed in this term may be using. */
  private final ResourceUse unconfirmed = new ResourceUse();

  private final double[] reservedCpusByPriority = new double[PRIORITIES];
  private boolean hasReservations;

  /**
   * @param team null if the team is not configured
   */
  TeamQuota(Settings.Team team) {
    limit = team == null ? null : ResourceLimit.of(team);
    guaranteedCpus = team == null ? 0 : team.guaranteedCpus();
  }

  ResourceUse unconfirmed() {
    return unconfirmed;
  }

  double cpusInUse() {
    return use.cpus();
  }

  /** Returns the processors used above the guarantee; negative if fewer are used. */
  double cpusAboveGuarantee() {
    return use.cpus() - guaranteedCpus;
  }

  /** Adds the resources of the given number of tasks; a negative number subtracts them. */
  void addUse(JobSpec spec, int tasks) {
    use.add(spec, tasks);
    usedCpusByPriority[spec.priority().ordinal()] += spec.cpus() * tasks;
  }

  void clearReservations() {
    Arrays.fill(reservedCpusByPriority, 0);
    hasReservations = false;
  }

  void addReservation(JobSpec.Priority priority, double cpus) {
    reservedCpusByPriority[priority.ordinal()] += cpus;
    hasReservations = true;
  }

  /** Returns whether one more task is within the limit; unconfirmed usage counts. */
  boolean limitAllowsOneMore(JobSpec spec) {
    return limit != null
        && limit.allows(
            use.cpus() + unconfirmed.cpus() + spec.cpus(),
            use.accelerators() + unconfirmed.accelerators() + spec.accelerators());
  }

  /** Returns whether one more task leaves more urgent priorities their reserved processors. */
  boolean reservationsAllowOneMore(JobSpec spec) {
    if (limit == null || !limit.limitsCpus() || !hasReservations) {
      return true;
    }
    double reserved =
        Math.min(unusedReservationsAbove(spec.priority()), limit.cpus() * MAX_RESERVED_SHARE);
    return limit.allowsWithReserved(use.cpus() + spec.cpus(), reserved);
  }

  /** Returns the processors that more urgent priorities have reserved but do not use now. */
  private double unusedReservationsAbove(JobSpec.Priority priority) {
    double reserved = 0;
    for (int above = 0; above < priority.ordinal(); above++) {
      if (reservedCpusByPriority[above] > 0) {
        reserved += Math.max(0, reservedCpusByPriority[above] - usedCpusByPriority[above]);
      }
    }
    return reserved;
  }

  /** Returns whether the limit allows the given number of tasks when the team uses nothing else. */
  boolean limitAllowsAtAll(JobSpec spec, int tasks) {
    return limit != null && limit.allows(spec.cpus() * tasks, spec.accelerators() * tasks);
  }
}
