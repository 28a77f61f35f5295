package org.eiderstair.core;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.eiderstair.core.MachineReport.Entry;
import org.eiderstair.core.MachineReport.Exit;
import org.eiderstair.core.MachineReport.TaskState;

/** The machine, to the letter of the protocol as far as it matters here. */
final class SearchWorker {
  long token;
  long session = 1;
  long sequence;
  long answeredSentMicros;
  final Map<TaskId, Entry> tasks = new TreeMap<>((a, b) -> Integer.compare(a.index(), b.index()));

  MachineReport view() {
    return new MachineReport(
        CommandWorld.MACHINE,
        "x",
        "t",
        "a",
        false,
        session,
        ++sequence,
        token,
        MachineReport.NO_NOTICE,
        List.copyOf(tasks.values()));
  }

  void execute(Order order) {
    Entry known = tasks.get(order.task());
    boolean same = known != null && known.attempt() == order.attempt();
    if (order instanceof Order.Launch) {
      if (known == null || !same && known.state() == TaskState.ENDED) {
        tasks.put(
            order.task(),
            new Entry(order.task(), order.attempt(), TaskState.RUNNING, Exit.NONE, false));
      }
    } else if (same && order instanceof Order.Kill && known.state() != TaskState.ENDED) {
      tasks.put(
          order.task(),
          new Entry(order.task(), order.attempt(), TaskState.ENDED, Exit.STOPPED, false));
    } else if (same && order instanceof Order.Reap && known.state() == TaskState.ENDED) {
      tasks.remove(order.task());
    }
  }

  boolean alive(TaskId task) {
    Entry entry = tasks.get(task);
    return entry != null && entry.state() != TaskState.ENDED;
  }
}
