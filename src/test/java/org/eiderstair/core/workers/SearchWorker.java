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

/** The machine, to the letter of the protocol as far as it matters here. */
final class SearchWorker {
  FencingToken fencingToken = FencingToken.NONE;
  long incarnation = 1;
  long sequence;
  long answeredSentMicros;
  final Map<TaskId, Entry> tasks = new TreeMap<>((a, b) -> Integer.compare(a.index(), b.index()));

  Heartbeat view() {
    return new Heartbeat(
        CommandWorld.MACHINE,
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

  void execute(Order order) {
    Entry known = tasks.get(order.task());
    boolean same = known != null && known.attempt() == order.attempt();
    if (order instanceof Order.Launch) {
      if (known == null || (!same && known.state() == TaskState.ENDED)) {
        tasks.put(
            order.task(),
            new Entry(order.task(), order.attempt(), TaskState.RUNNING, Exit.NONE, false));
      }
    } else if (same && order instanceof Order.Kill && known.state() != TaskState.ENDED) {
      tasks.put(
          order.task(),
          new Entry(order.task(), order.attempt(), TaskState.ENDED, Exit.STOPPED, false));
    } else if (same && order instanceof Order.Acknowledge && known.state() == TaskState.ENDED) {
      tasks.remove(order.task());
    }
  }

  boolean alive(TaskId task) {
    Entry entry = tasks.get(task);
    return entry != null && entry.state() != TaskState.ENDED;
  }
}
