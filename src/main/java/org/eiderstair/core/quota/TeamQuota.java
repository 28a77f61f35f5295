package org.eiderstair.core.quota;

import java.util.Arrays;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.settings.Settings;

/** The limit, guarantee and reservations of one team, and what it uses. */
final class TeamQuota {
  private static final int PRIORITIES = JobSpec.Priority.values().length;

  /** Of a team's limit, for all reservations together. */
  private static final double MAX_RESERVED_SHARE = 0.5;

  /** Null for a team that is not configured: it may use nothing. */
  private final ResourceLimit limit;

  private final double guaranteedCpus;
  private final ResourceUse use = new ResourceUse();
  private final double[] usedCpusByPriority = new double[PRIORITIES];

  /** What machines that this term has not heard from may be running. */
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

  double cpusAboveGuarantee() {
    return use.cpus() - guaranteedCpus;
  }

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

  boolean limitAllowsOneMore(JobSpec spec) {
    return limit != null
        && limit.allows(
            use.cpus() + unconfirmed.cpus() + spec.cpus(),
            use.accelerators() + unconfirmed.accelerators() + spec.accelerators());
  }

  boolean reservationsAllowOneMore(JobSpec spec) {
    if (limit == null || !limit.limitsCpus() || !hasReservations) {
      return true;
    }
    double reserved =
        Math.min(unusedReservationsAbove(spec.priority()), limit.cpus() * MAX_RESERVED_SHARE);
    return limit.allowsBesideReserved(use.cpus() + spec.cpus(), reserved);
  }

  /** What more urgent classes have reserved and do not use at present. */
  private double unusedReservationsAbove(JobSpec.Priority priority) {
    double reserved = 0;
    for (int above = 0; above < priority.ordinal(); above++) {
      if (reservedCpusByPriority[above] > 0) {
        reserved += Math.max(0, reservedCpusByPriority[above] - usedCpusByPriority[above]);
      }
    }
    return reserved;
  }

  boolean limitAllowsAtAll(JobSpec spec, int tasks) {
    return limit != null && limit.allows(spec.cpus() * tasks, spec.accelerators() * tasks);
  }
}
