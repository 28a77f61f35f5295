package org.eiderstair.core.capacity;

import java.util.List;
import java.util.Map;
import org.eiderstair.core.provisioning.RentalOption;

/**
 * The result of comparing the demand with the machines.
 *
 * @param machines the machines considered, each with its unassigned share
 * @param machinesToRent the number of missing machines per rental option, possibly 0
 * @param scalesInOnDemandMachines whether work that may run on spot machines is kept off unassigned
 *     on-demand machines, so that they become idle and are released
 */
record CapacityPlan(
    List<PlannedMachine> machines,
    Map<RentalOption, Integer> machinesToRent,
    boolean scalesInOnDemandMachines) {}
