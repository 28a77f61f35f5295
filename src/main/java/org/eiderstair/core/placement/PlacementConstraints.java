package org.eiderstair.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;

/**
 * Determines which machines may run the tasks of one job now, regardless of their free resources.
 * The result depends on the state of the machine and the job's requirements. With a zone rule, the
 * result also depends on the zones of the job's other tasks.
 */
final class PlacementConstraints {
  private final JobSpec spec;
  private final Collection<Machine> machines;
  private final long nowMicros;
  private final Map<String, Integer> tasksByZone = new HashMap<>();

  /** The zone of a job that must stay in one zone; null if not chosen, or without such a rule. */
  private String requiredZone;

  PlacementConstraints(Job job, Collection<Machine> machines, long nowMicros) {
    this.spec = job.spec();
    this.machines = machines;
    this.nowMicros = nowMicros;
    if (hasZoneRule()) {
      for (Attempt attempt : job.attempts()) {
        taskAdded(attempt.machine());
      }
    }
  }

  /** Returns whether each placed task may change which machines are allowed for the next one. */
  boolean hasZoneRule() {
    return hasZoneRule(spec);
  }

  /** Returns whether the job must stay in one zone, or must spread its tasks over zones. */
  static boolean hasZoneRule(JobSpec spec) {
    return spec.oneZone() || spec.spread();
  }

  /** Records that a task of the job has been placed on, or queued for, the machine. */
  void taskAdded(Machine machine) {
    if (hasZoneRule()) {
      tasksByZone.merge(machine.zone(), 1, Integer::sum);
    }
  }

  /** Records that a task of the job is no longer on the machine or in its queue. */
  void taskRemoved(Machine machine) {
    if (hasZoneRule()) {
      tasksByZone.merge(machine.zone(), -1, Integer::sum);
    }
  }

  /**
   * Chooses the zone of a job that must stay in one zone. Must be called before the first machine
   * is selected, and again after a task has been added or removed.
   */
  void chooseZone() {
    if (spec.oneZone()) {
      requiredZone = zoneOfTasks();
      if (requiredZone == null) {
        requiredZone = zoneWithMostFreeCpus();
      }
    }
  }

  /** Returns the zone that holds tasks of the job; null if it has none on any machine. */
  private String zoneOfTasks() {
    for (Map.Entry<String, Integer> zone : tasksByZone.entrySet()) {
      if (zone.getValue() > 0) {
        return zone.getKey();
      }
    }
    return null;
  }

  /**
   * Returns the zone whose machines have the most free processors. Only machines that the job may
   * use count; the name is empty if there are none.
   */
  private String zoneWithMostFreeCpus() {
    Map<String, Double> freeCpusByZone = new HashMap<>();
    for (Machine machine : machines) {
      if (isEligible(machine)) {
        freeCpusByZone.merge(machine.zone(), machine.freeCpus(), Double::sum);
      }
    }
    return freeCpusByZone.entrySet().stream()
        .max(Map.Entry.<String, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
        .map(Map.Entry::getKey)
        .orElse("");
  }

  /** Returns whether the machine may run one more task of the job. */
  boolean allows(Machine machine) {
    return isEligible(machine)
        && (requiredZone == null || requiredZone.equals(machine.zone()))
        && (!spec.spread() || tasksByZone.getOrDefault(machine.zone(), 0) < spec.maxPerZone());
  }

  /**
   * Returns whether the machine may run tasks of the job, apart from zone rules. A machine reserved
   * for on-demand work takes no job that allows spot machines.
   */
  private boolean isEligible(Machine machine) {
    return machine.isUsable(nowMicros)
        && machine.allows(spec)
        && !(machine.isReservedForOnDemand() && spec.spotAllowed());
  }
}
