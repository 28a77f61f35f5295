package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;

/** Builds the orders that a machine is sent. */
final class WorkerOrders {
  private WorkerOrders() {}

  /** What the machine is to kill: tasks of ended jobs, preempted tasks, and untracked ones. */
  static List<Order> kills(Machine machine) {
    List<Order> kills = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      if (attempt.mayBeOnMachine() && (!attempt.job().isOpen() || attempt.isStopRequested())) {
        // What an ended job would save is of no use.
        long graceMicros = attempt.job().isOpen() ? attempt.spec().checkpointDurationMicros() : 0;
        kills.add(new Order.Kill(attempt.task(), attempt.number(), graceMicros));
      }
    }
    kills.addAll(machine.untrackedTasks());
    return kills;
  }

  /**
   * Other orders and those launches that are still wanted. A launch may wait for the standby: what
   * was cancelled or given up meanwhile is not started any more. The attempt of a cancelled job
   * counts until the machine shows that it is not there, like any other.
   */
  static List<Order> withLaunches(List<? extends Order> orders, List<Attempt> launches) {
    List<Order> all = new ArrayList<>(orders);
    for (Attempt attempt : launches) {
      if (attempt.job().isOpen() && isStillSent(attempt)) {
        all.add(new Order.Launch(attempt.task(), attempt.number()));
      }
    }
    return all;
  }

  /** Whether nothing has become known of an attempt since its launch was to be sent. */
  static boolean isStillSent(Attempt attempt) {
    return attempt.phase() == Attempt.Phase.SENT
        && attempt.machine().attempt(attempt.task()) == attempt;
  }
}
