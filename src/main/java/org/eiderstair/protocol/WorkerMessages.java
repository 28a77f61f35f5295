package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;

/** What workers send and get. */
public final class WorkerMessages {
  private static final Map<String, TaskState> STATES =
      Map.of(
          "fetching",
          TaskState.FETCHING,
          "running",
          TaskState.RUNNING,
          "flushing",
          TaskState.SAVING,
          "ended",
          TaskState.ENDED);
  private static final Map<String, Exit> EXITS =
      Map.of(
          "done",
          Exit.DONE,
          "halted",
          Exit.STOPPED,
          "error",
          Exit.ERROR,
          "full",
          Exit.NO_ROOM,
          "busy",
          Exit.BUSY,
          "no_such",
          Exit.UNKNOWN_JOB);

  private WorkerMessages() {}

  /** The tasks of a report, one after the other. */
  private static final class Pieces implements MessagePackCodec.Rows {
    private static final String[] NAMES = {"Piece", "Try", "Tide", "Cause", "Saved"};

    private List<Entry> entries = new ArrayList<>();
    private MalformedMessageException fault;

    @Override
    public String field() {
      return "Pieces";
    }

    @Override
    public String[] names() {
      return NAMES;
    }

    @Override
    public void begin() {
      entries = new ArrayList<>();
      fault = null;
    }

    @Override
    public void row(Object[] values) {
      if (fault == null) {
        try {
          entries.add(entry(values));
        } catch (MalformedMessageException e) {
          // The message is read to its end: it may yet hold the list again.
          fault = e;
        }
      }
    }
  }

  /** Decodes and checks a worker's report. */
  public static Heartbeat decodeHeartbeat(byte[] body) throws MalformedMessageException {
    Pieces pieces = new Pieces();
    Fields f = new Fields(MessagePackCodec.readMap(body, pieces));
    if (!f.list("Pieces").isEmpty()) {
      throw new MalformedMessageException("Pieces is not a map");
    }
    if (pieces.fault != null) {
      throw pieces.fault;
    }
    List<Entry> entries = pieces.entries;
    return new Heartbeat(
        f.text("Skerry"),
        f.text("Endpoint"),
        f.text("Hull"),
        f.text("Fjord"),
        f.flag("Driftwood"),
        f.whole("Watch"),
        f.whole("Tally"),
        new FencingToken(f.whole("Baton")),
        f.microsOr("WarningS", Heartbeat.NO_NOTICE),
        entries);
  }

  private static Entry entry(Object[] values) throws MalformedMessageException {
    TaskId task = TaskId.parse(Fields.text(values[0], "Piece"));
    TaskState state = STATES.get(Fields.text(values[2], "Tide"));
    if (task == null || state == null) {
      throw new MalformedMessageException("Pieces holds an unknown task or state");
    }
    Exit exit = Exit.NONE;
    if (state == TaskState.ENDED) {
      // A reason this version does not know can only mean that the task did not complete.
      exit = EXITS.getOrDefault(Fields.text(values[3], "Cause"), Exit.ERROR);
    }
    return new Entry(
        task, Fields.whole(values[1], "Try"), state, exit, Boolean.TRUE.equals(values[4]));
  }

  /** The answer to a report. */
  public static byte[] encodeHeartbeatAnswer(FencingToken fencingToken, List<Order> orders) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("Baton", fencingToken.value());
    m.put("Orders", write(orders));
    return MessagePackCodec.write(m);
  }

  /** A command sent to the worker itself. */
  public static byte[] encodeCommand(
      FencingToken fencingToken, long incarnation, List<Order> orders) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("Baton", fencingToken.value());
    m.put("Watch", incarnation);
    m.put("Orders", write(orders));
    return MessagePackCodec.write(m);
  }

  /** Encodes the body of a 421: the node to report to, or none when it is null. */
  public static byte[] encodeRedirect(String node) {
    return MessagePackCodec.write(node == null ? Map.of() : Map.of("Harbour", node));
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
