package org.eiderstair.core.workers;

import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.TaskId;

/** Tells a machine on which everything fails from a job that fails everywhere. */
final class FailureAccounting {
  /** A machine that refused a task gets none for so long. */
  private static final long REFUSAL_HOLD_MICROS = 1_000_000;

  private final TermContext context;
  private final AvailableMachines availableMachines;
  private final MachineDrain drain;

  FailureAccounting(TermContext context, AvailableMachines availableMachines, MachineDrain drain) {
    this.context = context;
    this.availableMachines = availableMachines;
    this.drain = drain;
  }

  /** Records how a task of an open job ended without being done. */
  void recordExit(Machine machine, Job job, TaskId task, Heartbeat.Exit exit) {
    switch (exit) {
      case ERROR -> recordFailure(machine, job, task);
      case NO_ROOM, BUSY, UNKNOWN_JOB -> {
        context.debug("task=" + task + " refused by machine=" + machine.id() + ": " + exit);
        machine.holdUntil(context.nowMicros() + REFUSAL_HOLD_MICROS);
        availableMachines.remove(machine);
      }
      default -> {}
    }
  }

  private void recordFailure(Machine machine, Job job, TaskId task) {
    context.info("task=" + task + " failed on machine=" + machine.id());
    job.recordFailure(machine.id(), context.nowMicros());
    boolean onlyHere = job.failedMachineCount() == 1;
    boolean worksElsewhere = job.hasCompletedTasks() || onlyHere;
    machine.failures().record(job.id(), worksElsewhere);
    if (machine.failures().isFaulty(onlyHere) && machine.plan() == Machine.Plan.ACTIVE) {
      context.info(
          "machine="
              + machine.id()
              + " fails the tasks of "
              + machine.failures().failedJobCount()
              + " jobs: draining");
      drain.drain(machine);
    }
  }
}
