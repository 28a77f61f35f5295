package org.eiderstair.core.workers;

import java.util.List;
import org.eiderstair.core.model.Machine;

/**
 * The bounded list of machines that reported free resources: the dispatcher's memory of the paper's
 * section 3.1, whose entries the paper calls tokens. A machine is listed at most once, and not when
 * the list is full; a later heartbeat tries again.
 */
public final class AvailableMachines {
  private final int capacity;
  private final IndexedMachineList machines = new IndexedMachineList();

  /**
   * @param capacity the most machines that are listed, the setting {@code token_list_size}
   */
  public AvailableMachines(int capacity) {
    this.capacity = capacity;
  }

  /** Adds a machine that has free resources, unless it is listed already or the list is full. */
  public void offer(Machine machine) {
    if (!machines.contains(machine) && size() < capacity) {
      machines.add(machine);
    }
  }

  /** Removes a machine in constant time: the last one takes its place. */
  void remove(Machine machine) {
    machines.remove(machine);
  }

  /** How many machines are listed. */
  public int size() {
    return machines.all().size();
  }

  /** The listed machines, for reading. */
  public List<Machine> all() {
    return machines.all();
  }
}
