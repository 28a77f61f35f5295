package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;

/** Builds the orders that are sent to a machine. */
final class WorkerOrders {
  private WorkerOrders() {}

  /** Returns the kills for a machine: tasks of ended jobs, stopped tasks and untracked tasks. */
  static List<Order> kills(Machine machine) {
    List<Order> kills = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      if (attempt.mayBeOnMachine() && (!attempt.job().isOpen() || attempt.isStopRequested())) {
        // A checkpoint of an ended job is useless, so its tasks get no grace period.
        long graceMicros = attempt.job().isOpen() ? attempt.spec().checkpointDurationMicros() : 0;
        kills.add(new Order.Kill(attempt.task(), attempt.number(), graceMicros));
      }
    }
    kills.addAll(machine.untrackedTasks());
    return kills;
  }

  /**
   * Returns the given orders, followed by the launches that are still wanted. A launch may wait for
   * the standby, and its job or attempt may end in the meantime. Such a launch is left out. The
   * attempt of a cancelled job still counts until the machine shows that it is gone.
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

  /** Returns whether nothing is known yet about an attempt since its launch was sent. */
  static boolean isStillSent(Attempt attempt) {
    return attempt.phase() == Attempt.Phase.SENT
        && attempt.machine().attempt(attempt.task()) == attempt;
  }
}
