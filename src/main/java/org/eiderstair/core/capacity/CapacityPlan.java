package org.eiderstair.core.capacity;

import java.util.List;
import java.util.Map;
import org.eiderstair.core.provisioning.RentalOption;

/**
 * The outcome of comparing the demand with the machines.
 *
 * @param machines the machines considered, each with the share that no demand was assigned
 * @param machinesToRent how many machines of each option are missing, possibly 0
 * @param freesOnDemandMachines whether work that may run on spot machines should leave unassigned
 *     on-demand machines alone
 */
record CapacityPlan(
    List<PlannedMachine> machines,
    Map<RentalOption, Integer> machinesToRent,
    boolean freesOnDemandMachines) {}
