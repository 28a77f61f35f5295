package org.eiderstair.core.workers;

import java.util.List;
import org.eiderstair.core.model.Machine;

/**
 * The bounded list of machines that reported free resources. It is the dispatcher's memory in
 * section 3.1 of the paper, which calls the entries tokens. A machine is listed at most once. A
 * full list accepts no machine; a later heartbeat offers the machine again.
 */
public final class AvailableMachines {
  private final int capacity;
  private final IndexedMachineList machines = new IndexedMachineList();

  /**
   * @param capacity the maximum number of listed machines, from the setting {@code token_list_size}
   */
  public AvailableMachines(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a machine with free resources, unless it is already listed or the list is full. */
  public void offer(Machine machine) {
    if (!machines.contains(machine) && size() < capacity) {
      machines.add(machine);
    }
  }

  /** Removes a machine in constant time. The last machine of the list takes its position. */
  void remove(Machine machine) {
    machines.remove(machine);
  }

  /** Returns the number of listed machines. */
  public int size() {
    return machines.all().size();
  }

  /** Returns a read-only view of the listed machines. */
  public List<Machine> all() {
    return machines.all();
  }
}
