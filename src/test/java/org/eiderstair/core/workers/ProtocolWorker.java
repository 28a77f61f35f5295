package org.eiderstair.core.workers;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;

/** A worker that follows the protocol as far as {@link CommandSimulation} needs it. */
final class ProtocolWorker {
  FencingToken fencingToken = FencingToken.NONE;
  long incarnation = 1;
  long sequence;
  long leaseStartMicros;
  final Map<TaskId, Entry> tasks = new TreeMap<>((a, b) -> Integer.compare(a.index(), b.index()));

  /** Returns the next heartbeat, with the current tasks. */
  Heartbeat nextHeartbeat() {
    return new Heartbeat(
        CommandSimulation.MACHINE,
        "x",
        "t",
        "a",
        false,
        incarnation,
        ++sequence,
        fencingToken,
        Heartbeat.NO_NOTICE,
        List.copyOf(tasks.values()));
  }

  /** Executes an order; the fencing token and the incarnation were checked before. */
  void execute(Order order) {
    Entry known = tasks.get(order.task());
    boolean sameAttempt = known != null && known.attempt() == order.attempt();
    if (order instanceof Order.Launch) {
      if (known == null || (!sameAttempt && known.state() == TaskState.ENDED)) {
        tasks.put(
            order.task(),
            new Entry(order.task(), order.attempt(), TaskState.RUNNING, Exit.NONE, false));
      }
    } else if (sameAttempt && order instanceof Order.Kill && known.state() != TaskState.ENDED) {
      tasks.put(
          order.task(),
          new Entry(order.task(), order.attempt(), TaskState.ENDED, Exit.STOPPED, false));
    } else if (sameAttempt
        && order instanceof Order.Acknowledge
        && known.state() == TaskState.ENDED) {
      tasks.remove(order.task());
    }
  }

  /** Returns whether the machine holds the task and the task has not ended. */
  boolean isActive(TaskId task) {
    Entry entry = tasks.get(task);
    return entry != null && entry.state() != TaskState.ENDED;
  }
}
