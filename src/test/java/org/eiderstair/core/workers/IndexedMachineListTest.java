package org.eiderstair.core.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.eiderstair.core.model.Machine;

class IndexedMachineListTest {
  private static final int MACHINES = 8;

  /** Each step adds a machine that is not listed, or removes a machine that is listed. */
  @Property(tries = 200, seed = "21")
  void lastMachineTakesPositionOfRemovedMachine(
      @ForAll @Size(max = 60) List<@IntRange(max = MACHINES - 1) Integer> steps) {
    List<Machine> machines = new ArrayList<>();
    for (int i = 0; i < MACHINES; i++) {
      machines.add(new Machine("m-" + i, 1, Machine.Phase.CONFIRMED, 0));
    }
    IndexedMachineList list = new IndexedMachineList();
    List<Machine> expected = new ArrayList<>();
    for (int step : steps) {
      Machine machine = machines.get(step);
      int index = expected.indexOf(machine);
      assertEquals(index >= 0, list.contains(machine));
      if (index < 0) {
        expected.add(machine);
        list.add(machine);
      } else {
        Machine last = expected.remove(expected.size() - 1);
        if (last != machine) {
          expected.set(index, last);
        }
        list.remove(machine);
      }
      assertEquals(expected, list.all());
    }
  }
}
