package org.eiderstair.core.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Manages the bounded queue of attempts that the leader keeps for each machine. A task that fits no
 * available machine joins a queue. Queued attempts take the machine's resources as they become
 * free.
 */
final class MachineQueues {
  /** Number of random machines examined to find a queue for one task. */
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
   * Assigns free resources of machines to their queued attempts. Attempts of jobs that are no
   * longer open are removed.
   *
   * @param maxPriority the largest effective priority that is served; a smaller value is more
   *     urgent
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
        // Later attempts must not overtake: free resources may be accumulating for this one.
        break;
      } else if (admission.admitsOneMore(attempt.job())) {
        workers.reserveResources(attempt);
      }
    }
  }

  /**
   * Finds a queue for one task of the job. Only a few random machines are examined, so the cost
   * does not grow with the fleet.
   *
   * <p>If the best machine's queue is full, its last attempt is removed, and the task of that
   * attempt waits in its job again. Such an attempt is always less urgent than the given job.
   *
   * @return the machine whose queue the task can join; null if none was found
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
    return hasPlace(machine.queue(), job)
        && constraints.allows(machine)
        && !job.hasFailedOn(machine.id());
  }

  /**
   * Returns whether the queue has a free place, or its last attempt is less urgent than the job.
   */
  private boolean hasPlace(List<Attempt> queue, Job job) {
    return queue.size() < maxQueueLength
        || (maxQueueLength > 0 && last(queue).job().isLessUrgentThan(job));
  }

  private static Attempt last(List<Attempt> queue) {
    return queue.get(queue.size() - 1);
  }

  /**
   * Returns a score, in processors, that is higher for a more suitable machine. A machine that has
   * the image cached scores higher, and so does a machine with more free processors.
   */
  private static double suitability(Machine machine, Job job) {
    return machine.freeCpus() + (machine.hasImage(job.spec()) ? machine.type().cpus() : 0);
  }
}
