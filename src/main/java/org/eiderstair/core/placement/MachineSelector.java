package org.eiderstair.core.placement;

import java.util.function.IntUnaryOperator;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.workers.AvailableMachines;

/** Selects an available machine that fits a task. */
final class MachineSelector {
  private final AvailableMachines availableMachines;
  private final IntUnaryOperator random;
  private final StepCounter steps;
  private final UnplaceableSpecs unplaceable;

  MachineSelector(AvailableMachines availableMachines, IntUnaryOperator random, StepCounter steps) {
    this.availableMachines = availableMachines;
    this.random = random;
    this.steps = steps;
    this.unplaceable = new UnplaceableSpecs(steps);
  }

  /** Clears the specs that the last pass found unplaceable. */
  void beginPass() {
    unplaceable.clear();
  }

  /** Returns a random machine among the most preferred candidates; null if none fits a task. */
  Machine select(Candidates candidates) {
    return candidates.selectRandom(random);
  }

  /**
   * Returns the available machines that fit one task of the job and that its constraints allow.
   * Machines on which the job has failed are returned only if there are no others.
   */
  Candidates candidates(Job job, PlacementConstraints constraints) {
    JobSpec spec = job.spec();
    if (unplaceable.rulesOut(spec)) {
      return Candidates.ruledOut(spec, unplaceable, steps);
    }
    Candidates candidates = new Candidates(spec, unplaceable, steps);
    steps.add(availableMachines.size());
    boolean avoidedFailed = false;
    for (Machine machine : availableMachines.all()) {
      if (!machine.fits(spec) || !constraints.allows(machine) || isReserved(machine, job)) {
        continue;
      }
      if (job.hasFailedOn(machine.id())) {
        avoidedFailed = true;
      } else {
        candidates.add(machine);
      }
    }
    if (avoidedFailed && candidates.isEmpty()) {
      addAllThatFit(candidates, spec, constraints);
    }
    return candidates;
  }

  /**
   * Adds all machines that fit, including those on which the job has failed and those reserved for
   * queued tasks. A job that has failed on every available machine would otherwise wait forever.
   */
  private void addAllThatFit(
      Candidates candidates, JobSpec spec, PlacementConstraints constraints) {
    for (Machine machine : availableMachines.all()) {
      if (machine.fits(spec) && constraints.allows(machine)) {
        candidates.add(machine);
      }
    }
  }

  /**
   * Returns whether the machine's free resources are reserved for a more urgent task in its queue.
   * Without the reservation, small tasks of low priority took every free processor after a burst.
   * Larger, more urgent tasks then never fit on any machine.
   */
  private static boolean isReserved(Machine machine, Job job) {
    return !machine.queue().isEmpty() && job.isLessUrgentThan(machine.queue().get(0).job());
  }
}
