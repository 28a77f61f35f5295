package org.eiderstair.core.workers;

import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.TaskId;

/** Distinguishes a machine on which all tasks fail from a job that fails on all machines. */
final class FailureAccounting {
  /** How long a machine that refused a task gets no further task. */
  private static final long REFUSAL_HOLD_MICROS = 1_000_000;

  private final TermContext context;
  private final AvailableMachines availableMachines;
  private final MachineDrain drain;

  FailureAccounting(TermContext context, AvailableMachines availableMachines, MachineDrain drain) {
    this.context = context;
    this.availableMachines = availableMachines;
    this.drain = drain;
  }

  /** Records the exit of an attempt that did not complete its task. The job is still open. */
  void recordExit(Machine machine, Job job, TaskId task, Heartbeat.Exit exit) {
    switch (exit) {
      case ERROR -> recordFailure(machine, job, task);
      case NO_ROOM, BUSY, UNKNOWN_JOB -> {
        context.debug("task=" + task + " refused by machine=" + machine.id() + " exit=" + exit);
        machine.holdUntil(context.nowMicros() + REFUSAL_HOLD_MICROS);
        availableMachines.remove(machine);
      }
      default -> {}
    }
  }

  private void recordFailure(Machine machine, Job job, TaskId task) {
    context.info("task=" + task + " failed on machine=" + machine.id());
    job.recordFailure(machine.id(), context.nowMicros());
    boolean failedOnlyHere = job.failedMachineCount() == 1;
    boolean worksElsewhere = job.hasCompletedTasks() || failedOnlyHere;
    machine.failures().record(job.id(), worksElsewhere);
    if (machine.failures().isFaulty(failedOnlyHere) && machine.plan() == Machine.Plan.ACTIVE) {
      context.info(
          "draining faulty machine="
              + machine.id()
              + " failed_jobs="
              + machine.failures().failedJobCount());
      drain.drain(machine);
    }
  }
}
