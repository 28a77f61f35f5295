package org.eiderstair.core.placement;

import java.util.OptionalInt;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.workers.WorkerManager;

/** Places the waiting tasks of one job: on available machines, else in short queues. */
final class JobPlacer {
  private final WorkerManager workers;
  private final QuotaAdmission admission;
  private final MachineSelector selector;
  private final MachineQueues queues;

  JobPlacer(
      WorkerManager workers,
      QuotaAdmission admission,
      MachineSelector selector,
      MachineQueues queues) {
    this.workers = workers;
    this.admission = admission;
    this.selector = selector;
    this.queues = queues;
  }

  /** Places what the job's quota and the machines have room for; the rest waits here. */
  void place(Job job, long nowMicros) {
    PlacementConstraints constraints =
        new PlacementConstraints(job, workers.machines().values(), nowMicros);
    moveQueuedToAvailable(job, constraints);
    placeWaiting(job, constraints);
  }

  private void placeWaiting(Job job, PlacementConstraints constraints) {
    int maxActive = job.isLikelyFaulty() ? 1 : Integer.MAX_VALUE;
    Candidates candidates = null;
    OptionalInt next = job.nextFreeTask(0);
    while (next.isPresent()) {
      int index = next.getAsInt();
      if (job.attemptCount() >= maxActive || !admission.admitsOneMore(job)) {
        return;
      }
      constraints.chooseZone();
      if (candidates == null || constraints.hasZoneRule()) {
        candidates = selector.candidates(job, constraints);
      }
      Machine machine = selector.draw(candidates);
      if (machine != null) {
        attach(job, index, machine, Attempt.Phase.PLANNED);
      } else {
        machine = queues.join(job, constraints);
        if (machine == null) {
          return;
        }
        attach(job, index, machine, Attempt.Phase.QUEUED);
      }
      constraints.taskAdded(machine);
      next = job.nextFreeTask(index + 1);
    }
  }

  /**
   * An available machine is preferred to a place in a queue: what waits for one machine moves to
   * another that has room first.
   */
  private void moveQueuedToAvailable(Job job, PlacementConstraints constraints) {
    if (!job.hasQueuedAttempts()) {
      return;
    }
    Candidates candidates = null;
    if (!constraints.hasZoneRule()) {
      // Most often no machine is available for any of them, and then no attempt is looked at.
      candidates = selector.candidates(job, constraints);
      if (candidates.isEmpty()) {
        candidates.noteExhausted();
        return;
      }
    }
    // Not a copy of all active attempts: that cost 80 KB a pass for a job of 16,000 tasks.
    for (Attempt attempt : job.queuedAttempts()) {
      if (!admission.admitsOneMore(job)) {
        return;
      }
      constraints.taskRemoved(attempt.machine());
      if (constraints.hasZoneRule()) {
        constraints.chooseZone();
        candidates = selector.candidates(job, constraints);
      }
      Machine machine = selector.draw(candidates);
      if (machine == null) {
        constraints.taskAdded(attempt.machine());
        return;
      }
      workers.remove(attempt);
      attach(job, attempt.index(), machine, Attempt.Phase.PLANNED);
      constraints.taskAdded(machine);
    }
  }

  private void attach(Job job, int index, Machine machine, Attempt.Phase phase) {
    workers.attach(new Attempt(job, index, workers.nextAttempt(), machine, phase));
  }
}
