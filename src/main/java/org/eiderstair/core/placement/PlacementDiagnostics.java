package org.eiderstair.core.placement;

import java.util.Map;
import java.util.TreeMap;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.AvailableMachines;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Builds the placement part of the leader's status line: machine counts, free processors,
 * processors that teams use, and waiting tasks with the reason for the wait.
 */
final class PlacementDiagnostics {
  private final Replica replica;
  private final WorkerManager workers;
  private final AvailableMachines availableMachines;
  private final TeamQuotas quotas;
  private final StarvationGuard starvationGuard;

  PlacementDiagnostics(
      Replica replica,
      WorkerManager workers,
      AvailableMachines availableMachines,
      TeamQuotas quotas,
      StarvationGuard starvationGuard) {
    this.replica = replica;
    this.workers = workers;
    this.availableMachines = availableMachines;
    this.quotas = quotas;
    this.starvationGuard = starvationGuard;
  }

  String summary(long nowMicros) {
    return "machines "
        + workers.machines().size()
        + ", unconfirmed "
        + workers.unconfirmed().size()
        + ", available machines "
        + availableMachines.size()
        + ", free cpus "
        + Math.round(freeCpus(nowMicros))
        + ", used by teams "
        + Math.round(quotas.totalCpusInUse())
        + ", waiting "
        + waitingTasks()
        + starvationGuard.summary();
  }

  private double freeCpus(long nowMicros) {
    double cpus = 0;
    for (Machine machine : availableMachines.all()) {
      cpus += machine.isUsable(nowMicros) ? machine.freeCpus() : 0;
    }
    return cpus;
  }

  /** Returns the number of waiting tasks by job class, team, and quota restriction. */
  private Map<String, Integer> waitingTasks() {
    Map<String, Integer> waiting = new TreeMap<>();
    for (Job job : replica.openJobs()) {
      int tasks = job.waitingTaskCount();
      if (tasks > 0) {
        JobSpec spec = job.spec();
        String group = spec.jobClass() + " of " + spec.team() + quotaRestriction(spec);
        waiting.merge(group, tasks, Integer::sum);
      }
    }
    return waiting;
  }

  /** Returns the quota restriction that holds back a task of the spec; empty if there is none. */
  private String quotaRestriction(JobSpec spec) {
    if (!quotas.limitAllowsOneMore(spec)) {
      return " at its limit";
    }
    return quotas.reservationsAllowOneMore(spec) ? "" : " at its reservation";
  }
}
