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
 * Decides where tasks run, in passes: the entry of this package. Jobs are served in the order of
 * {@link ServiceOrder} as far as {@link QuotaAdmission} admits their tasks. A task takes a random
 * one of the available machines that fit it ({@link MachineSelector}), else it joins the short
 * queue of a random fitting machine ({@link MachineQueues}), else it waits for a later pass. {@link
 * GuaranteePreemption} frees room for jobs within their team's guarantee.
 */
public final class Placement {
  private static final int ALL_PRIORITIES = Integer.MAX_VALUE;
  private static final long ORDER_UPDATE_MICROS = 500_000;

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
   * @param random gives a number from 0 below its argument; the same sequence gives the same
   *     decisions
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
    workers.setJobStartedListener(starvationGuard::noteStarted);
  }

  /** Machines, jobs and attempts looked at so far, for tests of how the cost of a pass grows. */
  public long steps() {
    return steps.total();
  }

  /** Makes one pass: places what can be placed now, and preempts for what cannot. */
  public void place(long nowMicros) {
    place(nowMicros, true);
  }

  /**
   * Makes one pass: places what can be placed now.
   *
   * @param preempts whether work of other teams may be preempted for what cannot be placed; the
   *     search for it looks at the whole fleet, so that an overloaded leader goes without
   */
  public void place(long nowMicros, boolean preempts) {
    admission.beginPass(nowMicros);
    if (nowMicros >= nextOrderUpdateMicros) {
      nextOrderUpdateMicros = nowMicros + ORDER_UPDATE_MICROS;
      order.updateGuarantees();
      starvationGuard.update(replica.openJobs(), this::cpusInUse, nowMicros);
    }
    selector.beginPass();
    preemption.beginPass();
    List<Job> jobs = order.jobsToPlace(nowMicros);
    // A machine's own queue goes first, but never before waiting work that is more urgent.
    int highestPriority = jobs.isEmpty() ? ALL_PRIORITIES : jobs.get(0).effectivePriority();
    queues.serve(highestPriority, nowMicros);
    for (Job job : jobs) {
      placer.place(job, nowMicros);
      if (preempts && job.hasWaitingTasks()) {
        preemption.preemptFor(job, nowMicros);
      }
    }
    // Queued attempts that yielded to more urgent work take the room that is left.
    queues.serve(ALL_PRIORITIES, nowMicros);
    workers.clearQueuesToServe();
  }

  private double cpusInUse() {
    double cpus = 0;
    for (Machine machine : workers.queueable()) {
      cpus += machine.type().cpus();
    }
    return cpus;
  }

  /** One line for operators: what waits and why, what teams use, and how much room is left. */
  public String summary(long nowMicros) {
    return diagnostics.summary(nowMicros);
  }
}
