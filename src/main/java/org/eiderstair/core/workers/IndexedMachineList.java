package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.model.Machine;

/** A list of distinct machines with constant-time insertion, lookup and removal. */
final class IndexedMachineList {
  private final List<Machine> machines = new ArrayList<>();
  private final List<Machine> view = Collections.unmodifiableList(machines);
  private final Map<Machine, Integer> indexes = new HashMap<>();

  boolean contains(Machine machine) {
    return indexes.containsKey(machine);
  }

  /** Appends a machine, which must not be in the list. */
  void add(Machine machine) {
    indexes.put(machine, machines.size());
    machines.add(machine);
  }

  /** Removes a machine if present. The last machine of the list takes its position. */
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

  /** Returns a read-only view of the machines. */
  List<Machine> all() {
    return view;
  }
}
