package org.eiderstair.core.placement;

import java.util.List;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.capacity.Demand;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.AvailableMachines;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Decides in passes on which machines tasks run. This is the entry point of the package.
 *
 * <p>{@link ServiceOrder} determines the order of the jobs, and {@link QuotaAdmission} limits the
 * tasks of each. {@link MachineSelector} selects a random available machine that fits a task. If
 * there is none, {@link MachineQueues} adds the task to the queue of a machine with a free place.
 * If there is none either, the task waits for a later pass. {@link GuaranteePreemption} frees
 * resources for jobs within their team's guarantee.
 */
public final class Placement {
  private static final int ALL_PRIORITIES = Integer.MAX_VALUE;
  private static final long ORDER_UPDATE_INTERVAL_MICROS = 500_000;

  private final Replica replica;
  private final WorkerManager workers;
  private final StepCounter steps = new StepCounter();
  private final StarvationGuard starvationGuard;
  private final ServiceOrder order;
  private final QuotaAdmission admission;
  private final MachineSelector selector;
  private final MachineQueues queues;
  private final JobPlacer placer;
  private final GuaranteePreemption preemption;
  private final PlacementDiagnostics diagnostics;
  private long nextOrderUpdateMicros;

  /**
   * @param random returns a number from 0 (inclusive) to its argument (exclusive); the same
   *     sequence of numbers leads to the same decisions
   */
  public Placement(
      Settings settings,
      EffectSink sink,
      Replica replica,
      WorkerManager workers,
      AvailableMachines availableMachines,
      TeamQuotas quotas,
      long term,
      Demand demand,
      IntUnaryOperator random) {
    this.replica = replica;
    this.workers = workers;
    starvationGuard = new StarvationGuard(message -> sink.info(message + ", term=" + term));
    order = new ServiceOrder(settings, replica, workers, starvationGuard, term, steps);
    admission = new QuotaAdmission(replica, workers, quotas, demand, starvationGuard, term);
    selector = new MachineSelector(availableMachines, random, steps);
    queues = new MachineQueues(workers, admission, settings.tuning().machineQueue(), random, steps);
    placer = new JobPlacer(workers, admission, selector, queues);
    preemption = new GuaranteePreemption(sink, workers, quotas, order, term);
    diagnostics =
        new PlacementDiagnostics(replica, workers, availableMachines, quotas, starvationGuard);
    workers.setJobStartedListener(starvationGuard::recordStarted);
  }

  /**
   * Returns how many machines, jobs and attempts all passes have examined. Tests use the count to
   * check how the cost of a pass grows.
   */
  public long steps() {
    return steps.total();
  }

  /** Runs one pass: places tasks, and preempts tasks for jobs that still wait. */
  public void place(long nowMicros) {
    place(nowMicros, true);
  }

  /**
   * Runs one pass.
   *
   * @param preemptionAllowed whether tasks of other teams may be preempted for jobs that still
   *     wait. An overloaded leader skips preemption, since its search covers the whole fleet.
   */
  public void place(long nowMicros, boolean preemptionAllowed) {
    admission.beginPass(nowMicros);
    if (nowMicros >= nextOrderUpdateMicros) {
      nextOrderUpdateMicros = nowMicros + ORDER_UPDATE_INTERVAL_MICROS;
      order.updateGuarantees();
      starvationGuard.update(replica.openJobs(), this::usableCpus, nowMicros);
    }
    selector.beginPass();
    preemption.beginPass();
    List<Job> jobs = order.jobsToPlace(nowMicros);
    // Queued attempts go first, except those that are less urgent than the first waiting job.
    int highestPriority = jobs.isEmpty() ? ALL_PRIORITIES : jobs.get(0).effectivePriority();
    queues.serve(highestPriority, nowMicros);
    for (Job job : jobs) {
      placer.place(job, nowMicros);
      if (preemptionAllowed && job.hasWaitingTasks()) {
        preemption.preemptFor(job, nowMicros);
      }
    }
    // Queued attempts that were held back for more urgent jobs take the remaining resources.
    queues.serve(ALL_PRIORITIES, nowMicros);
    workers.clearQueuesToServe();
  }

  /** Returns the processors, free or not, of all machines that may be given waiting attempts. */
  private double usableCpus() {
    double cpus = 0;
    for (Machine machine : workers.queueable()) {
      cpus += machine.type().cpus();
    }
    return cpus;
  }

  /**
   * Returns one log line for operators: machine counts, free processors, processors that teams use,
   * and waiting tasks with the reason for the wait.
   */
  public String summary(long nowMicros) {
    return diagnostics.summary(nowMicros);
  }
}
