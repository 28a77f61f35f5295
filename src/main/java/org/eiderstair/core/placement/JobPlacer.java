package org.eiderstair.core.placement;

import java.util.OptionalInt;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.workers.WorkerManager;

/** Places the waiting tasks of one job on available machines, or else in machine queues. */
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

  /**
   * Places as many waiting tasks as the team's quota and the machines allow. The other tasks stay
   * waiting in the job.
   */
  void place(Job job, long nowMicros) {
    PlacementConstraints constraints =
        new PlacementConstraints(job, workers.machines().values(), nowMicros);
    moveQueuedToAvailable(job, constraints);
    placeWaiting(job, constraints);
  }

  /**
   * Places the tasks that have no attempt. A job that is likely faulty gets one attempt at a time.
   */
  private void placeWaiting(Job job, PlacementConstraints constraints) {
    int maxAttempts = job.isLikelyFaulty() ? 1 : Integer.MAX_VALUE;
    Candidates candidates = null;
    OptionalInt next = job.nextFreeTask(0);
    while (next.isPresent()) {
      int index = next.getAsInt();
      if (job.attemptCount() >= maxAttempts || !admission.admitsOneMore(job)) {
        return;
      }
      constraints.chooseZone();
      if (candidates == null || constraints.hasZoneRule()) {
        candidates = selector.candidates(job, constraints);
      }
      Machine machine = selector.select(candidates);
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
   * Moves queued attempts of the job to available machines. A task that is queued for one machine
   * starts on another machine that has free resources earlier.
   */
  private void moveQueuedToAvailable(Job job, PlacementConstraints constraints) {
    if (!job.hasQueuedAttempts()) {
      return;
    }
    Candidates candidates = null;
    if (!constraints.hasZoneRule()) {
      // Usually no machine is available for the job, so the queued attempts are not visited.
      candidates = selector.candidates(job, constraints);
      if (candidates.isEmpty()) {
        candidates.recordExhausted();
        return;
      }
    }
    // Only the queued attempts are copied. A copy of all active attempts allocated 80 KB in each
    // pass for a job of 16,000 tasks.
    for (Attempt attempt : job.queuedAttempts()) {
      if (!admission.admitsOneMore(job)) {
        return;
      }
      constraints.taskRemoved(attempt.machine());
      if (constraints.hasZoneRule()) {
        constraints.chooseZone();
        candidates = selector.candidates(job, constraints);
      }
      Machine machine = selector.select(candidates);
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
