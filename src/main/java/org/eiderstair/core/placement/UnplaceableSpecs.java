package org.eiderstair.core.placement;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.model.JobSpec;

/**
 * The specs for which no available machine was found in this pass. Free resources only shrink
 * during a pass. A spec that needs at least as much as one of these specs is therefore not tried
 * again.
 */
final class UnplaceableSpecs {
  private final List<JobSpec> specs = new ArrayList<>();
  private final StepCounter steps;

  UnplaceableSpecs(StepCounter steps) {
    this.steps = steps;
  }

  void clear() {
    specs.clear();
  }

  void add(JobSpec spec) {
    specs.add(spec);
  }

  /** Returns whether this pass has already shown that no available machine fits the spec. */
  boolean rulesOut(JobSpec spec) {
    for (JobSpec unplaceable : specs) {
      steps.add(1);
      if (needsAtLeast(spec, unplaceable)) {
        return true;
      }
    }
    return false;
  }

  /** Returns whether each machine that fits {@code spec} would also fit {@code other}. */
  private static boolean needsAtLeast(JobSpec spec, JobSpec other) {
    return spec.cpus() >= other.cpus()
        && spec.memoryGb() >= other.memoryGb()
        && spec.accelerators() >= other.accelerators()
        && (other.spotAllowed() || !spec.spotAllowed())
        && (other.zone() == null || other.zone().equals(spec.zone()))
        && (other.machineTypes() == null || other.machineTypes().equals(spec.machineTypes()));
  }
}
