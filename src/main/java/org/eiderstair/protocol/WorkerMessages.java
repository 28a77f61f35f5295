package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.MachineReport;
import org.eiderstair.core.MachineReport.Entry;
import org.eiderstair.core.MachineReport.Exit;
import org.eiderstair.core.MachineReport.TaskState;
import org.eiderstair.core.Order;
import org.eiderstair.core.TaskId;

/** What workers send and get. */
public final class WorkerMessages {
  private static final Map<String, TaskState> STATES = Map.of("fetching", TaskState.FETCHING, "running",
      TaskState.RUNNING, "flushing", TaskState.SAVING, "ended", TaskState.ENDED);
  private static final Map<String, Exit> EXITS = Map.of("done", Exit.DONE, "halted", Exit.STOPPED, "error", Exit.ERROR,
      "full", Exit.NO_ROOM, "busy", Exit.BUSY, "no_such", Exit.UNKNOWN_JOB);

  private WorkerMessages() {}

  public static MachineReport report(Map<String, Object> message) throws Malformed {
    Fields f = new Fields(message);
    List<Entry> entries = new ArrayList<>();
    for (Object item : f.list("Pieces")) {
      entries.add(entry(Fields.of(item, "Pieces")));
    }
    return new MachineReport(f.text("Skerry"), f.text("Endpoint"), f.text("Hull"), f.text("Fjord"),
        f.flag("Driftwood"), f.whole("Watch"), f.whole("Tally"), f.whole("Baton"),
        f.microsOr("WarningS", MachineReport.NO_NOTICE), entries);
  }

  private static Entry entry(Fields f) throws Malformed {
    TaskId task = TaskId.parse(f.text("Piece"));
    TaskState state = STATES.get(f.text("Tide"));
    if (task == null || state == null) {
      throw new Malformed("Pieces holds an unknown task or state");
    }
    Exit exit = Exit.NONE;
    if (state == TaskState.ENDED) {
      // A reason this version does not know can only mean that the task did not complete.
      exit = EXITS.getOrDefault(f.text("Cause"), Exit.ERROR);
    }
    return new Entry(task, f.whole("Try"), state, exit, Boolean.TRUE.equals(f.raw("Saved")));
  }

  /** The answer to a report. */
  public static byte[] orders(long token, List<Order> orders) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("Baton", token);
    m.put("Orders", write(orders));
    return Pack.write(m);
  }

  /** A command sent to the worker itself. */
  public static byte[] command(long token, long session, List<Order> orders) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("Baton", token);
    m.put("Watch", session);
    m.put("Orders", write(orders));
    return Pack.write(m);
  }

  public static byte[] redirect(String node) {
    return Pack.write(node == null ? Map.of() : Map.of("Harbour", node));
  }

  private static List<Object> write(List<Order> orders) {
    List<Object> list = new ArrayList<>(orders.size());
    for (Order order : orders) {
      Map<String, Object> m = new LinkedHashMap<>();
      if (order instanceof Order.Launch) {
        m.put("Verb", "launch");
      } else if (order instanceof Order.Kill) {
        m.put("Verb", "kill");
      } else {
        m.put("Verb", "reap");
      }
      m.put("Piece", order.task().toString());
      m.put("Try", order.attempt());
      if (order instanceof Order.Kill kill) {
        m.put("LeewayS", kill.graceMicros() / 1e6);
      }
      list.add(m);
    }
    return list;
  }
}
