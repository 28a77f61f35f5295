package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eiderstair.core.model.Machine;

/** Machines that have launches or kills to be sent with the next pass, in the order of requests. */
final class CommandQueue {
  private final Set<Machine> machines = new LinkedHashSet<>();

  /** A machine has launches to be sent. */
  void scheduleLaunches(Machine machine) {
    machines.add(machine);
  }

  /** A machine has tasks to be killed. */
  void scheduleKills(Machine machine) {
    machine.commands().requestKills();
    machines.add(machine);
  }

  /** Nothing is to be sent to a machine any more. */
  void remove(Machine machine) {
    machines.remove(machine);
  }

  /** The machines as of now: sending to one may add others. */
  List<Machine> snapshot() {
    return new ArrayList<>(machines);
  }
}
