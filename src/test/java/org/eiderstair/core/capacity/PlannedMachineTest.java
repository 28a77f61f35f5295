package org.eiderstair.core.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;

/** Tests the assignment of demand to a machine with 8 CPUs. */
class PlannedMachineTest {
  private final LeaderFixture leader = new LeaderFixture();

  private PlannedMachine machine() {
    Machine machine = new Machine("m", LeaderFixture.TERM, Machine.Phase.BOOTING, 0);
    machine.describe(null, "t", "a", true);
    machine.assignType(LeaderFixture.TYPE);
    return new PlannedMachine(machine);
  }

  private JobSpec job(double cpus) {
    return leader.job("blue", JobSpec.Priority.NORMAL, 10, cpus).spec();
  }

  @Example
  void tasksAreAssignedUntilTheScarcestResourceIsUsed() {
    PlannedMachine machine = machine();
    assertTrue(machine.isUnassigned());
    assertEquals(3, machine.assign(job(2), 3), 1e-9);
    assertFalse(machine.isUnassigned());
    assertEquals(1, machine.assign(job(2), 3), 1e-9, "a quarter of the machine was unassigned");
    assertEquals(0, machine.assign(job(2), 3), 1e-9, "the machine is fully assigned");
  }

  @Example
  void aFractionOfATaskCanBeAssigned() {
    PlannedMachine machine = machine();
    assertEquals(2.0 / 3, machine.assign(job(8), 2.0 / 3), 1e-9);
    assertEquals(1.0 / 3, machine.assign(job(8), 1), 1e-9);
  }

  @Example
  void tasksThatTheMachineDoesNotAllowAreNotAssigned() {
    PlannedMachine machine = machine();
    assertEquals(0, machine.assign(job(9), 1), 0);
    assertTrue(machine.isUnassigned());
  }
}
