package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.model.Machine;

/**
 * The bounded list of machines that reported free room: the dispatcher's memory of the paper's
 * section 3.1. A machine is stored at most once, and not when the list is full; a later report
 * tries again.
 */
public final class AvailableMachines {
  private final int capacity;
  private final List<Machine> machines = new ArrayList<>();

  public AvailableMachines(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a machine that has room, unless it is there already or the list is full. */
  public void offer(Machine machine) {
    if (machine.availableIndex < 0 && machines.size() < capacity) {
      machine.availableIndex = machines.size();
      machines.add(machine);
    }
  }

  void remove(Machine machine) {
    if (machine.availableIndex < 0) {
      return;
    }
    Machine last = machines.remove(machines.size() - 1);
    if (last != machine) {
      machines.set(machine.availableIndex, last);
      last.availableIndex = machine.availableIndex;
    }
    machine.availableIndex = -1;
  }

  /** The machines of the list. */
  public List<Machine> all() {
    return machines;
  }
}
