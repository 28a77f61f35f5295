package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.model.Machine;

/** A list of different machines that adds, finds and removes one in constant time. */
final class IndexedMachineList {
  private final List<Machine> machines = new ArrayList<>();
  private final List<Machine> view = Collections.unmodifiableList(machines);
  private final Map<Machine, Integer> indexes = new HashMap<>();

  boolean contains(Machine machine) {
    return indexes.containsKey(machine);
  }

  /** Adds a machine that is not in the list, at its end. */
  void add(Machine machine) {
    indexes.put(machine, machines.size());
    machines.add(machine);
  }

  /** Removes a machine, if it is in the list: the last one takes its place. */
  void remove(Machine machine) {
    Integer index = indexes.remove(machine);
    if (index == null) {
      return;
    }
    Machine last = machines.remove(machines.size() - 1);
    if (last != machine) {
      machines.set(index, last);
      indexes.put(last, index);
    }
  }

  /** The machines, for reading. */
  List<Machine> all() {
    return view;
  }
}
