package org.eiderstair.core.capacity;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.provisioning.RentalOption;
import org.eiderstair.core.provisioning.RentalRequest;
import org.eiderstair.core.workers.WorkerManager;

/** Compares the demand with the machines that are running or pending. */
final class CapacityPlanner {
  /** A smaller number of missing tasks is treated as a rounding error. */
  private static final double MIN_MISSING_TASKS = 1e-3;

  /** Demand for this fraction of a machine above a whole number does not cause a rental. */
  private static final double IGNORED_MACHINE_FRACTION = 0.1;

  private final WorkerManager workers;
  private final Demand demand;
  private final PendingMachines pendingMachines;
  private final RentalOptionSelector selector;
  private final CapacityClock clock;

  CapacityPlanner(
      WorkerManager workers,
      Demand demand,
      PendingMachines pendingMachines,
      RentalOptionSelector selector,
      CapacityClock clock) {
    this.workers = workers;
    this.demand = demand;
    this.pendingMachines = pendingMachines;
    this.selector = selector;
    this.clock = clock;
  }

  /** Assigns the demand to machines and returns the plan with the missing machines. */
  CapacityPlan plan(List<RentalRequest> pendingRentals) {
    List<PlannedMachine> machines = plannedMachines(pendingRentals);
    Map<String, Integer> machinesByZone = machinesByZone(pendingRentals);
    List<Demand.Estimate> estimates = demand.measure(clock.nowMicros());
    // If some work requires on-demand machines, they are kept for the whole demand, because a burst
    // of that work cannot wait for machines to boot.
    boolean scalesInOnDemand = estimates.stream().allMatch(each -> each.spec().spotAllowed());
    Map<RentalOption, Double> missing = new LinkedHashMap<>();
    for (Demand.Estimate estimate : estimates) {
      double assigned = assign(estimate, machines, scalesInOnDemand);
      selector
          .select(estimate.spec(), machinesByZone)
          .ifPresent(
              candidate -> {
                double missingTasks = wantedTasks(estimate, candidate, scalesInOnDemand) - assigned;
                addMissing(missing, estimate.spec(), candidate, missingTasks, machines);
              });
    }
    return new CapacityPlan(machines, wholeMachines(missing), scalesInOnDemand);
  }

  /**
   * Returns the active and pending machines in the order in which demand is assigned to them.
   * Machines at the end of the list are the preferred candidates for release.
   */
  private List<PlannedMachine> plannedMachines(List<RentalRequest> pendingRentals) {
    List<PlannedMachine> machines = new ArrayList<>();
    for (Machine machine : workers.machines().values()) {
      // The tasks of a partitioned machine are planned on other machines.
      if (machine.plan() == Machine.Plan.ACTIVE
          && machine.type() != null
          && !machine.isPartitioned()) {
        machines.add(new PlannedMachine(machine));
      }
    }
    for (RentalRequest rental : pendingRentals) {
      for (Machine machine : pendingMachines.of(rental)) {
        machines.add(new PlannedMachine(machine));
      }
    }
    machines.sort(
        Comparator.comparing((PlannedMachine machine) -> !machine.isSpot())
            .thenComparing(machine -> !machine.isBusy()));
    return machines;
  }

  private Map<String, Integer> machinesByZone(List<RentalRequest> pendingRentals) {
    Map<String, Integer> machinesByZone = new HashMap<>();
    for (Machine machine : workers.machines().values()) {
      machinesByZone.merge(machine.zone(), 1, Integer::sum);
    }
    for (RentalRequest rental : pendingRentals) {
      machinesByZone.merge(rental.option().zone(), rental.count(), Integer::sum);
    }
    return machinesByZone;
  }

  /** Assigns the tasks of one job class to machines and returns the number assigned. */
  private static double assign(
      Demand.Estimate estimate, List<PlannedMachine> machines, boolean scalesInOnDemand) {
    double assigned = 0;
    for (PlannedMachine machine : machines) {
      double wanted = wantedTasks(estimate, scalesInOnDemand && !machine.isSpot());
      assigned += machine.assign(estimate.spec(), Math.max(0, wanted - assigned));
    }
    return assigned;
  }

  /**
   * Returns the number of tasks to plan for.
   *
   * @param currentOnly whether to plan only for the tasks that open jobs need now. This applies to
   *     on-demand machines while all work may use spot machines.
   */
  private static double wantedTasks(Demand.Estimate estimate, boolean currentOnly) {
    return currentOnly ? estimate.currentTasks() : estimate.tasks();
  }

  private static double wantedTasks(
      Demand.Estimate estimate,
      RentalOptionSelector.Candidate candidate,
      boolean scalesInOnDemand) {
    return wantedTasks(estimate, scalesInOnDemand && !candidate.option().spot());
  }

  /**
   * Adds the machines that unassigned tasks need. Adds at least one whole machine if no existing
   * machine allows such a task.
   */
  private static void addMissing(
      Map<RentalOption, Double> missing,
      JobSpec spec,
      RentalOptionSelector.Candidate candidate,
      double missingTasks,
      List<PlannedMachine> machines) {
    if (missingTasks <= MIN_MISSING_TASKS) {
      return;
    }
    double needed = missingTasks * PlannedMachine.taskShare(spec, candidate.type());
    boolean noneAllows = machines.stream().noneMatch(machine -> machine.allows(spec));
    missing.merge(candidate.option(), noneAllows ? Math.max(1, needed) : needed, Double::sum);
  }

  private static Map<RentalOption, Integer> wholeMachines(Map<RentalOption, Double> missing) {
    Map<RentalOption, Integer> whole = new LinkedHashMap<>();
    missing.forEach(
        (option, machines) ->
            whole.put(option, (int) Math.ceil(machines - IGNORED_MACHINE_FRACTION)));
    return whole;
  }
}
