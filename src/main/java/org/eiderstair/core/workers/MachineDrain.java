package org.eiderstair.core.workers;

import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Machine;

/** Takes machines out of service without stopping what runs there. */
final class MachineDrain {
  /** Between the notice and the checkpoint: messages, and the machine's next heartbeat. */
  private static final long CHECKPOINT_MARGIN_MICROS = 1_500_000;

  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
  private final CommandQueue commandQueue;

  MachineDrain(WorkerRegistry registry, AttemptTracker tracker, CommandQueue commandQueue) {
    this.registry = registry;
    this.tracker = tracker;
    this.commandQueue = commandQueue;
  }

  /** A machine gets no new work; what waits for it at the leader goes back to the common queue. */
  void drain(Machine machine) {
    machine.drain();
    tracker.unplan(machine);
    registry.updateQueueable(machine);
    tracker.noteChange();
  }

  /**
   * Drains a spot machine that the platform will take away. Tasks that can save a checkpoint in
   * time are stopped; the others may yet complete.
   *
   * @param noticeMicros the time until it is taken away
   */
  void drainForNotice(Machine machine, long noticeMicros) {
    drain(machine);
    for (Attempt attempt : machine.attempts()) {
      boolean saves = attempt.spec().checkpointIntervalMicros() > 0;
      long neededMicros = attempt.spec().checkpointDurationMicros() + CHECKPOINT_MARGIN_MICROS;
      if (saves && neededMicros <= noticeMicros) {
        attempt.requestStop();
        commandQueue.scheduleKills(machine);
      }
    }
  }
}
