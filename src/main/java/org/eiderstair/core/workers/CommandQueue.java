package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eiderstair.core.model.Machine;

/** The machines with launches or kills to send in the next pass, in the order of the requests. */
final class CommandQueue {
  private final Set<Machine> machines = new LinkedHashSet<>();

  /** Adds a machine that has launches to send. */
  void scheduleLaunches(Machine machine) {
    machines.add(machine);
  }

  /** Adds a machine that has tasks to kill. */
  void scheduleKills(Machine machine) {
    machine.commands().requestKills();
    machines.add(machine);
  }

  /** Removes a machine that has nothing left to send. */
  void remove(Machine machine) {
    machines.remove(machine);
  }

  /** Returns a copy of the queued machines, because sending to one machine may add others. */
  List<Machine> snapshot() {
    return new ArrayList<>(machines);
  }
}
