package org.eiderstair.core.placement;

import java.util.function.IntUnaryOperator;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.workers.AvailableMachines;

/** Chooses among the available machines one with room for a task. */
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

  /** Forgets what the last pass found to be unplaceable. */
  void beginPass() {
    unplaceable.clear();
  }

  /** A random one of the candidates that suit best; null if none has room. */
  Machine draw(Candidates candidates) {
    return candidates.draw(random);
  }

  /** The available machines that fit one task of the job. */
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

  /** Every machine that is left has failed this job: rather one of those than never. */
  private void addAllThatFit(
      Candidates candidates, JobSpec spec, PlacementConstraints constraints) {
    for (Machine machine : availableMachines.all()) {
      if (machine.fits(spec) && constraints.allows(machine)) {
        candidates.add(machine);
      }
    }
  }

  /**
   * Room that accumulates for a more urgent task in the machine's queue. Seen after a burst: as
   * every processor that became free went to a small task of low priority, no machine ever had room
   * for the larger ones that were more urgent.
   */
  private static boolean isReserved(Machine machine, Job job) {
    return !machine.queue().isEmpty() && job.isLessUrgentThan(machine.queue().get(0).job());
  }
}
