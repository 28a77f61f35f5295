package org.eiderstair.core.placement;

import org.eiderstair.core.capacity.Demand;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Decides whether a team's quota admits one more task of a job. Usage counts against the limit
 * together with the tasks that unconfirmed machines may still run. Part of the limit is reserved
 * for more urgent priorities.
 */
final class QuotaAdmission {
  private final Replica replica;
  private final WorkerManager workers;
  private final TeamQuotas quotas;
  private final Demand demand;
  private final StarvationGuard starvationGuard;
  private final long term;

  QuotaAdmission(
      Replica replica,
      WorkerManager workers,
      TeamQuotas quotas,
      Demand demand,
      StarvationGuard starvationGuard,
      long term) {
    this.replica = replica;
    this.workers = workers;
    this.quotas = quotas;
    this.demand = demand;
    this.starvationGuard = starvationGuard;
    this.term = term;
  }

  /** Computes, for one pass, the usage of unconfirmed machines and the reservations. */
  void beginPass(long nowMicros) {
    quotas.clearUnconfirmed();
    if (!workers.unconfirmed().isEmpty()) {
      countUnconfirmed(nowMicros);
    }
    quotas.clearReservations();
    demand.reserve(quotas);
  }

  /**
   * Counts the resources that unconfirmed machines may use for each team, as an upper bound.
   *
   * <ul>
   *   <li>An open job that is older than this term counts with its tasks that are neither completed
   *       nor attempted.
   *   <li>A recently cancelled job counts with all its tasks, since workers may still run them.
   *       Every task of a cancelled job has ended after {@code cancel_s}.
   *   <li>A finished job does not count, since none of its tasks can be running.
   *   <li>The count of each team is capped at the total size of the unconfirmed machines. A machine
   *       of unknown type has no such limit.
   * </ul>
   */
  private void countUnconfirmed(long nowMicros) {
    for (Job job : replica.openJobs()) {
      if (job.version() < term) {
        quotas.addUnconfirmed(job.spec(), job.freeTaskCount());
      }
    }
    for (Job job : replica.recentlyCancelled(nowMicros)) {
      quotas.addUnconfirmed(job.spec(), job.tasks());
    }
    double cpus = 0;
    double accelerators = 0;
    for (Machine machine : workers.unconfirmed()) {
      cpus += machine.type() == null ? Double.MAX_VALUE : machine.type().cpus();
      accelerators += machine.type() == null ? Double.MAX_VALUE : machine.type().accelerators();
    }
    quotas.capUnconfirmed(cpus, accelerators);
  }

  /**
   * Returns whether the team's limit and reservations allow one more task of the job. Reservations
   * do not apply to a boosted job.
   */
  boolean admitsOneMore(Job job) {
    return quotas.limitAllowsOneMore(job.spec())
        && (quotas.reservationsAllowOneMore(job.spec()) || starvationGuard.isBoosted(job));
  }
}
