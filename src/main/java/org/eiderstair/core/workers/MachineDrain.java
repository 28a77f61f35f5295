package org.eiderstair.core.workers;

import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Machine;

/** Drains machines: they get no new work, while their running tasks continue. */
final class MachineDrain {
  /**
   * Time from the preemption notice to the checkpoint: messages and the machine's next heartbeat.
   */
  private static final long CHECKPOINT_MARGIN_MICROS = 1_500_000;

  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
  private final CommandQueue commandQueue;

  MachineDrain(WorkerRegistry registry, AttemptTracker tracker, CommandQueue commandQueue) {
    this.registry = registry;
    this.tracker = tracker;
    this.commandQueue = commandQueue;
  }

  /** Drains a machine. Attempts that were not sent to it yet are freed, to be placed again. */
  void drain(Machine machine) {
    machine.drain();
    tracker.freeUnsentAttempts(machine);
    registry.updateQueueable(machine);
    tracker.requestPlacement();
  }

  /**
   * Drains a spot machine that the platform will preempt. Requests the stop of tasks that can save
   * a checkpoint in time. The other tasks go on, since they may still complete.
   *
   * @param noticeMicros the time until the preemption
   */
  void drainForPreemption(Machine machine, long noticeMicros) {
    drain(machine);
    for (Attempt attempt : machine.attempts()) {
      boolean savesCheckpoints = attempt.spec().checkpointIntervalMicros() > 0;
      long neededMicros = attempt.spec().checkpointDurationMicros() + CHECKPOINT_MARGIN_MICROS;
      if (savesCheckpoints && neededMicros <= noticeMicros) {
        attempt.requestStop();
        commandQueue.scheduleKills(machine);
      }
    }
  }
}
