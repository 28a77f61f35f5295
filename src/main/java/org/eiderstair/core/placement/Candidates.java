package org.eiderstair.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;

/**
 * The available machines that fit one task of a job, grouped by preference level.
 *
 * <p>Machines that the demand requires come before excess machines. Spot machines come next, for
 * jobs that allow them. On-demand machines then stay free for jobs that need them, or can be
 * returned. Machines that have the image cached are preferred after that, then machines in use.
 *
 * <p>The candidates are computed once for all tasks of a job, unless the job has a zone rule.
 */
final class Candidates {
  // The preference level of a machine is the sum of the weights that apply.
  private static final int IN_DEMAND = 8;
  private static final int SPOT = 4;
  private static final int HAS_IMAGE = 2;
  private static final int IN_USE = 1;
  private static final int PREFERENCE_LEVELS = 16;

  private final JobSpec spec;
  private final UnplaceableSpecs unplaceable;
  private final StepCounter steps;
  private List<List<Machine>> byPreference;
  private int bestPreference = -1;

  /** Whether {@link #unplaceable} already rules out the spec. */
  private boolean ruledOut;

  Candidates(JobSpec spec, UnplaceableSpecs unplaceable, StepCounter steps) {
    this.spec = spec;
    this.unplaceable = unplaceable;
    this.steps = steps;
  }

  /** Returns an empty set of candidates for a spec that this pass already found unplaceable. */
  static Candidates ruledOut(JobSpec spec, UnplaceableSpecs unplaceable, StepCounter steps) {
    Candidates none = new Candidates(spec, unplaceable, steps);
    none.ruledOut = true;
    return none;
  }

  /** Adds a machine that fits the spec and that the job's constraints allow. */
  void add(Machine machine) {
    int preference = preference(machine);
    if (byPreference == null) {
      byPreference = new ArrayList<>(Collections.nCopies(PREFERENCE_LEVELS, null));
    }
    List<Machine> sameLevel = byPreference.get(preference);
    if (sameLevel == null) {
      sameLevel = new ArrayList<>();
      byPreference.set(preference, sameLevel);
    }
    sameLevel.add(machine);
    bestPreference = Math.max(bestPreference, preference);
  }

  private int preference(Machine machine) {
    return (machine.isExcess() ? 0 : IN_DEMAND)
        + (machine.isSpot() ? SPOT : 0)
        + (machine.hasImage(spec) ? HAS_IMAGE : 0)
        + (machine.attempts().isEmpty() ? 0 : IN_USE);
  }

  boolean isEmpty() {
    return bestPreference < 0;
  }

  /**
   * Selects a machine uniformly at random among those of the highest preference level that still
   * fit one task. Machines that no longer fit are removed.
   *
   * @return the selected machine; null if no candidate fits a task
   */
  Machine selectRandom(IntUnaryOperator random) {
    while (!isEmpty()) {
      List<Machine> sameLevel = byPreference.get(bestPreference);
      if (sameLevel == null || sameLevel.isEmpty()) {
        bestPreference--;
        continue;
      }
      steps.add(1);
      int index = random.applyAsInt(sameLevel.size());
      Machine machine = sameLevel.get(index);
      if (machine.fits(spec)) {
        return machine;
      }
      sameLevel.set(index, sameLevel.get(sameLevel.size() - 1));
      sameLevel.remove(sameLevel.size() - 1);
    }
    recordExhausted();
    return null;
  }

  /**
   * Records for the rest of this pass that no available machine fits the spec. A job with a zone
   * rule is not recorded, since the rule does not restrict other jobs of the same size.
   */
  void recordExhausted() {
    if (!ruledOut && !PlacementConstraints.hasZoneRule(spec)) {
      ruledOut = true;
      unplaceable.add(spec);
    }
  }
}
