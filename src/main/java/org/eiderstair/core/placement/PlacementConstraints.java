package org.eiderstair.core.placement;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;

/**
 * Which machines may run the tasks of one job now, whether they have room or not: by the machine's
 * state, by what the job asks for, and by where the job's other tasks are if it has a zone rule.
 */
final class PlacementConstraints {
  private final JobSpec spec;
  private final Collection<Machine> machines;
  private final long nowMicros;
  private final Map<String, Integer> tasksByZone = new HashMap<>();
  private String onlyZone;

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

  /** Whether each placed task changes which machines may run the next one. */
  boolean hasZoneRule() {
    return hasZoneRule(spec);
  }

  static boolean hasZoneRule(JobSpec spec) {
    return spec.oneZone() || spec.spread();
  }

  void taskAdded(Machine machine) {
    if (hasZoneRule()) {
      tasksByZone.merge(machine.zone(), 1, Integer::sum);
    }
  }

  void taskRemoved(Machine machine) {
    if (hasZoneRule()) {
      tasksByZone.merge(machine.zone(), -1, Integer::sum);
    }
  }

  /**
   * Chooses the zone of a job that must stay in one: before the first choice of a machine, and
   * again after tasks have moved.
   */
  void chooseZone() {
    if (spec.oneZone()) {
      onlyZone = zoneOfTasks();
      if (onlyZone == null) {
        onlyZone = zoneWithMostRoom();
      }
    }
  }

  private String zoneOfTasks() {
    for (Map.Entry<String, Integer> zone : tasksByZone.entrySet()) {
      if (zone.getValue() > 0) {
        return zone.getKey();
      }
    }
    return null;
  }

  /** Counts only machines that the job may use; the empty name if there are none. */
  private String zoneWithMostRoom() {
    Map<String, Double> freeCpusByZone = new HashMap<>();
    for (Machine machine : machines) {
      if (isOpen(machine)) {
        freeCpusByZone.merge(machine.zone(), machine.freeCpus(), Double::sum);
      }
    }
    return freeCpusByZone.entrySet().stream()
        .max(Map.Entry.<String, Double>comparingByValue().thenComparing(Map.Entry.comparingByKey()))
        .map(Map.Entry::getKey)
        .orElse("");
  }

  /** Whether the machine may run one more task of the job. */
  boolean allows(Machine machine) {
    return isOpen(machine)
        && (onlyZone == null || onlyZone.equals(machine.zone()))
        && (!spec.spread() || tasksByZone.getOrDefault(machine.zone(), 0) < spec.maxPerZone());
  }

  /** An on-demand machine beyond the demand takes nothing that may run on a spot machine. */
  private boolean isOpen(Machine machine) {
    return machine.isUsable(nowMicros)
        && machine.allows(spec)
        && !(machine.isReservedForOnDemand() && spec.spotAllowed());
  }
}
