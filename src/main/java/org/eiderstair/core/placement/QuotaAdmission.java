package org.eiderstair.core.placement;

import org.eiderstair.core.capacity.Demand;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Whether a team's quota admits one more task of a job: its limit, which also counts what
 * unconfirmed machines may still run, and the part of the limit reserved for more urgent classes.
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

  /** Measures what unconfirmed machines may hold and what is reserved, for one pass. */
  void beginPass(long nowMicros) {
    quotas.clearUnconfirmed();
    if (!workers.unconfirmed().isEmpty()) {
      countUnconfirmed(nowMicros);
    }
    quotas.clearReservations();
    demand.reserve(quotas);
  }

  /**
   * What unconfirmed machines may hold for each team: no more than the tasks of its older jobs that
   * are neither done nor seen, nor more than those machines' room. Of cancelled jobs, all that a
   * worker may still run counts; after {@code cancel_s} nothing of one is anywhere. A finished job
   * has nothing left to run.
   */
  private void countUnconfirmed(long nowMicros) {
    for (Job job : replica.openJobs()) {
      if (job.version() < term) {
        quotas.addUnconfirmed(job.spec(), job.freeTasks());
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

  /** Whether one more task keeps the limit, and the reservations unless the job is boosted. */
  boolean admitsOneMore(Job job) {
    return quotas.limitAllowsOneMore(job.spec())
        && (quotas.reservationsAllowOneMore(job.spec()) || starvationGuard.isBoosted(job));
  }
}
