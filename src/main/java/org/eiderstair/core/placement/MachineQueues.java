package org.eiderstair.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.workers.WorkerManager;

/**
 * The short queues of attempts that the leader keeps for each machine: which queue a task joins
 * that found no room, and when its head takes room that has become free.
 */
final class MachineQueues {
  /** Machines looked at to find a queue to join. */
  private static final int QUEUE_PROBES = 8;

  private final WorkerManager workers;
  private final QuotaAdmission admission;
  private final int maxQueueLength;
  private final IntUnaryOperator random;
  private final StepCounter steps;

  MachineQueues(
      WorkerManager workers,
      QuotaAdmission admission,
      int maxQueueLength,
      IntUnaryOperator random,
      StepCounter steps) {
    this.workers = workers;
    this.admission = admission;
    this.maxQueueLength = maxQueueLength;
    this.random = random;
    this.steps = steps;
  }

  /**
   * Gives queued attempts the room that their machines have got.
   *
   * @param maxPriority only attempts of jobs whose effective priority is at most this value
   */
  void serve(int maxPriority, long nowMicros) {
    for (Machine machine : workers.queuesToServe()) {
      serve(machine, maxPriority, nowMicros);
    }
  }

  private void serve(Machine machine, int maxPriority, long nowMicros) {
    for (Attempt attempt : new ArrayList<>(machine.queue())) {
      steps.add(1);
      if (!attempt.job().isOpen()) {
        workers.remove(attempt);
      } else if (attempt.job().effectivePriority() > maxPriority
          || !machine.isUsable(nowMicros)
          || !machine.fits(attempt.spec())) {
        // Nothing later in the queue overtakes: room may be accumulating for this one.
        break;
      } else if (admission.admitsOneMore(attempt.job())) {
        workers.occupy(attempt);
      }
    }
  }

  /**
   * Makes room in the best of a few random queues: so one is found in few steps. A queue counts as
   * short if its last attempt is less urgent: that one goes back to the common queue.
   *
   * @return the machine whose queue the job's task can join; null if none was found
   */
  Machine join(Job job, PlacementConstraints constraints) {
    List<Machine> queueable = workers.queueable();
    Machine best = null;
    for (int probe = 0; probe < QUEUE_PROBES && !queueable.isEmpty(); probe++) {
      steps.add(1);
      Machine machine = queueable.get(random.applyAsInt(queueable.size()));
      if (canJoin(machine, job, constraints)
          && (best == null || suitability(machine, job) > suitability(best, job))) {
        best = machine;
      }
    }
    if (best != null && best.queue().size() >= maxQueueLength) {
      workers.remove(last(best.queue()));
    }
    return best;
  }

  private boolean canJoin(Machine machine, Job job, PlacementConstraints constraints) {
    return isShort(machine.queue(), job)
        && constraints.allows(machine)
        && !job.hasFailedOn(machine.id());
  }

  private boolean isShort(List<Attempt> queue, Job job) {
    return queue.size() < maxQueueLength
        || (maxQueueLength > 0 && last(queue).job().isLessUrgentThan(job));
  }

  private static Attempt last(List<Attempt> queue) {
    return queue.get(queue.size() - 1);
  }

  /** Higher for a machine that has the image, and among those for the one with the most room. */
  private static double suitability(Machine machine, Job job) {
    return machine.freeCpus() + (machine.hasImage(job.spec()) ? machine.type().cpus() : 0);
  }
}
