package org.eiderstair.core.placement;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;

/**
 * The available machines that fit the tasks of one job, grouped by preference: machines that the
 * demand still asks for; spot machines for work that may use them, so that the others stay free for
 * work that may not, or can be returned; then those that have the image; then those already in use.
 * Found once for all tasks of a job.
 */
final class Candidates {
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

  /** Whether {@link #unplaceable} already rules the spec out. */
  private boolean ruledOut;

  Candidates(JobSpec spec, UnplaceableSpecs unplaceable, StepCounter steps) {
    this.spec = spec;
    this.unplaceable = unplaceable;
    this.steps = steps;
  }

  /** No candidates, as the spec was already found to be unplaceable in this pass. */
  static Candidates ruledOut(JobSpec spec, UnplaceableSpecs unplaceable, StepCounter steps) {
    Candidates none = new Candidates(spec, unplaceable, steps);
    none.ruledOut = true;
    return none;
  }

  void add(Machine machine) {
    int preference = preference(machine);
    if (byPreference == null) {
      byPreference = new ArrayList<>(Collections.nCopies(PREFERENCE_LEVELS, null));
    }
    List<Machine> equals = byPreference.get(preference);
    if (equals == null) {
      equals = new ArrayList<>();
      byPreference.set(preference, equals);
    }
    equals.add(machine);
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
   * The paper's uniform draw, among the machines of the highest preference that still have room for
   * one task; null when none is left.
   */
  Machine draw(IntUnaryOperator random) {
    while (!isEmpty()) {
      List<Machine> equals = byPreference.get(bestPreference);
      if (equals == null || equals.isEmpty()) {
        bestPreference--;
        continue;
      }
      steps.add(1);
      int drawn = random.applyAsInt(equals.size());
      Machine machine = equals.get(drawn);
      if (machine.fits(spec)) {
        return machine;
      }
      equals.set(drawn, equals.get(equals.size() - 1));
      equals.remove(equals.size() - 1);
    }
    noteExhausted();
    return null;
  }

  /**
   * Remembers for this pass that no machine is left. Where a zone rule restricts the job, that says
   * nothing about other jobs.
   */
  void noteExhausted() {
    if (!ruledOut && !PlacementConstraints.hasZoneRule(spec)) {
      ruledOut = true;
      unplaceable.add(spec);
    }
  }
}
