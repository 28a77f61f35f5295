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

/** Messages from and to workers: heartbeats, their answers, and commands. */
public final class WorkerMessages {
  /** Where a worker is asked for its status. */
  public static final String STATUS_PATH = "/status";

  /** Where a worker takes commands. */
  public static final String COMMANDS_PATH = "/commands";

  private static final Map<String, TaskState> TASK_STATES =
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

  private static final String LAUNCH = "launch";
  private static final String KILL = "kill";
  private static final String ACKNOWLEDGE = "reap";
  private static final double MICROS_PER_SECOND = 1e6;

  private WorkerMessages() {}

  /** Reads the tasks of a heartbeat, one after the other. */
  private static final class TaskRows implements MessagePackCodec.RowReader {
    private static final int TASK = 0;
    private static final int ATTEMPT = 1;
    private static final int STATE = 2;
    private static final int EXIT = 3;
    private static final int SAVED = 4;

    /** In the order of the indexes above. */
    private static final String[] NAMES = {
      WireFields.TASK,
      WireFields.ATTEMPT,
      WireFields.STATE,
      WireFields.EXIT,
      WireFields.CHECKPOINT_SAVED
    };

    private List<Entry> entries = new ArrayList<>();
    private MalformedMessageException fault;

    @Override
    public String field() {
      return WireFields.TASKS;
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

    private static Entry entry(Object[] values) throws MalformedMessageException {
      TaskId task = TaskId.parse(Fields.text(values[TASK], WireFields.TASK));
      TaskState state = TASK_STATES.get(Fields.text(values[STATE], WireFields.STATE));
      if (task == null || state == null) {
        throw new MalformedMessageException(WireFields.TASKS, "holds an unknown task or state");
      }
      Exit exit = state == TaskState.ENDED ? exit(values[EXIT]) : Exit.NONE;
      long attempt = Fields.count(values[ATTEMPT], WireFields.ATTEMPT);
      return new Entry(task, attempt, state, exit, Boolean.TRUE.equals(values[SAVED]));
    }

    /** A reason that this version does not know can only mean that the task did not complete. */
    private static Exit exit(Object value) throws MalformedMessageException {
      return EXITS.getOrDefault(Fields.text(value, WireFields.EXIT), Exit.ERROR);
    }

    /** The tasks that were read; {@code others} are the items of the list that were no rows. */
    List<Entry> entries(List<?> others) throws MalformedMessageException {
      if (!others.isEmpty()) {
        throw new MalformedMessageException(WireFields.TASKS, "is not a map");
      }
      if (fault != null) {
        throw fault;
      }
      return entries;
    }
  }

  /** Decodes and checks a worker's heartbeat. */
  public static Heartbeat decodeHeartbeat(byte[] body) throws MalformedMessageException {
    TaskRows rows = new TaskRows();
    Fields fields = new Fields(MessagePackCodec.readMap(body, rows));
    List<Entry> tasks = rows.entries(fields.list(WireFields.TASKS));
    return new Heartbeat(
        fields.text(WireFields.MACHINE),
        fields.text(WireFields.ADDRESS),
        fields.text(WireFields.MACHINE_TYPE),
        fields.text(WireFields.ZONE),
        fields.flag(WireFields.SPOT),
        fields.count(WireFields.INCARNATION),
        fields.count(WireFields.SEQUENCE),
        new FencingToken(fields.count(WireFields.FENCING_TOKEN)),
        fields.microsOr(WireFields.SPOT_NOTICE_S, Heartbeat.NO_NOTICE),
        tasks);
  }

  /** Encodes the answer to a heartbeat. */
  public static byte[] encodeHeartbeatAnswer(FencingToken fencingToken, List<Order> orders) {
    Map<String, Object> message = new LinkedHashMap<>();
    message.put(WireFields.FENCING_TOKEN, fencingToken.value());
    message.put(WireFields.ORDERS, encode(orders));
    return MessagePackCodec.write(message);
  }

  /** Encodes a command that is sent to the worker itself. */
  public static byte[] encodeCommand(
      FencingToken fencingToken, long incarnation, List<Order> orders) {
    Map<String, Object> message = new LinkedHashMap<>();
    message.put(WireFields.FENCING_TOKEN, fencingToken.value());
    message.put(WireFields.INCARNATION, incarnation);
    message.put(WireFields.ORDERS, encode(orders));
    return MessagePackCodec.write(message);
  }

  /** Encodes the body of a 421: the node to report to, or none when it is null. */
  public static byte[] encodeRedirect(String node) {
    return MessagePackCodec.write(node == null ? Map.of() : Map.of(WireFields.REDIRECT_NODE, node));
  }

  private static List<Object> encode(List<Order> orders) {
    List<Object> encoded = new ArrayList<>(orders.size());
    for (Order order : orders) {
      encoded.add(encode(order));
    }
    return encoded;
  }

  private static Map<String, Object> encode(Order order) {
    Map<String, Object> fields = new LinkedHashMap<>();
    fields.put(WireFields.ORDER_KIND, kind(order));
    fields.put(WireFields.TASK, order.task().toString());
    fields.put(WireFields.ATTEMPT, order.attempt());
    if (order instanceof Order.Kill kill) {
      fields.put(WireFields.GRACE_S, kill.graceMicros() / MICROS_PER_SECOND);
    }
    return fields;
  }

  private static String kind(Order order) {
    if (order instanceof Order.Launch) {
      return LAUNCH;
    }
    return order instanceof Order.Kill ? KILL : ACKNOWLEDGE;
  }
}
