package org.eiderstair.protocol;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;

/** Encodes and decodes the messages exchanged with workers: heartbeats, answers and commands. */
public final class WorkerMessages {
  /** The path of a worker's status. */
  public static final String STATUS_PATH = "/status";

  /** The path to which commands for a worker are sent. */
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

  private static final Set<String> HEARTBEAT_FIELDS =
      Set.of(
          WireFields.MACHINE,
          WireFields.ADDRESS,
          WireFields.MACHINE_TYPE,
          WireFields.ZONE,
          WireFields.SPOT,
          WireFields.INCARNATION,
          WireFields.SEQUENCE,
          WireFields.FENCING_TOKEN,
          WireFields.SPOT_NOTICE_SECONDS,
          WireFields.TASKS);

  private static final String LAUNCH = "launch";
  private static final String KILL = "kill";
  private static final String ACKNOWLEDGE = "reap";
  private static final double MICROS_PER_SECOND = 1e6;

  private WorkerMessages() {}

  /** Decodes the list of tasks of a heartbeat. */
  private static final class TaskRowReader implements MessagePackCodec.RowReader {
    private static final int TASK_COLUMN = 0;
    private static final int ATTEMPT_COLUMN = 1;
    private static final int STATE_COLUMN = 2;
    private static final int EXIT_COLUMN = 3;
    private static final int SAVED_COLUMN = 4;

    /** The column names, in the order of the column indexes above. */
    private static final String[] COLUMN_NAMES = {
      WireFields.TASK,
      WireFields.ATTEMPT,
      WireFields.STATE,
      WireFields.EXIT,
      WireFields.CHECKPOINT_SAVED
    };

    private List<Entry> entries = new ArrayList<>();

    /** The exception for the first malformed row; null if there is none. */
    private MalformedMessageException firstProblem;

    @Override
    public String listName() {
      return WireFields.TASKS;
    }

    @Override
    public String[] columnNames() {
      return COLUMN_NAMES;
    }

    @Override
    public void beginList() {
      entries = new ArrayList<>();
      firstProblem = null;
    }

    @Override
    public void row(Object[] values) {
      if (firstProblem == null) {
        try {
          entries.add(entry(values));
        } catch (MalformedMessageException e) {
          // Not thrown yet: if the message repeats the list, only the last list counts.
          firstProblem = e;
        }
      }
    }

    private static Entry entry(Object[] values) throws MalformedMessageException {
      TaskId task = TaskId.parse(Fields.text(values[TASK_COLUMN], WireFields.TASK));
      TaskState state = TASK_STATES.get(Fields.text(values[STATE_COLUMN], WireFields.STATE));
      if (task == null || state == null) {
        throw new MalformedMessageException(WireFields.TASKS, "holds an unknown task or state");
      }
      Exit exit = state == TaskState.ENDED ? exit(values[EXIT_COLUMN]) : Exit.NONE;
      long attempt = Fields.count(values[ATTEMPT_COLUMN], WireFields.ATTEMPT);
      return new Entry(task, attempt, state, exit, Boolean.TRUE.equals(values[SAVED_COLUMN]));
    }

    /**
     * Returns the reason why a task ended. A reason that is unknown, unreadable or missing counts
     * as an error, because only {@link Exit#DONE} means that the task completed.
     */
    private static Exit exit(Object value) {
      return value instanceof String text ? EXITS.getOrDefault(text, Exit.ERROR) : Exit.ERROR;
    }

    /**
     * Returns the tasks of the heartbeat.
     *
     * @param otherItems the items of the list that are not maps
     * @throws MalformedMessageException if there are such items, or if a row was malformed
     */
    List<Entry> entries(List<?> otherItems) throws MalformedMessageException {
      if (!otherItems.isEmpty()) {
        throw new MalformedMessageException(WireFields.TASKS, "is not a map");
      }
      if (firstProblem != null) {
        throw firstProblem;
      }
      return entries;
    }
  }

  /** Decodes and checks a worker's heartbeat. */
  public static Heartbeat decodeHeartbeat(byte[] body) throws MalformedMessageException {
    TaskRowReader rowReader = new TaskRowReader();
    Fields fields = new Fields(MessagePackCodec.readMap(body, HEARTBEAT_FIELDS, rowReader));
    List<Entry> tasks = rowReader.entries(fields.list(WireFields.TASKS));
    return new Heartbeat(
        fields.text(WireFields.MACHINE),
        fields.text(WireFields.ADDRESS),
        fields.text(WireFields.MACHINE_TYPE),
        fields.text(WireFields.ZONE),
        fields.flag(WireFields.SPOT),
        fields.count(WireFields.INCARNATION),
        fields.count(WireFields.SEQUENCE),
        new FencingToken(fields.count(WireFields.FENCING_TOKEN)),
        noticeMicros(fields),
        tasks);
  }

  /** Returns the time until the machine is taken away; 0 when that time has passed. */
  private static long noticeMicros(Fields fields) throws MalformedMessageException {
    boolean passed =
        fields.raw(WireFields.SPOT_NOTICE_SECONDS) instanceof Number n && n.doubleValue() < 0;
    return passed ? 0 : fields.microsOrDefault(WireFields.SPOT_NOTICE_SECONDS, Heartbeat.NO_NOTICE);
  }

  /** Encodes the answer to a heartbeat, which carries orders for the worker. */
  public static byte[] encodeHeartbeatAnswer(FencingToken fencingToken, List<Order> orders) {
    Map<String, Object> message = new LinkedHashMap<>();
    message.put(WireFields.FENCING_TOKEN, fencingToken.value());
    message.put(WireFields.ORDERS, encode(orders));
    return MessagePackCodec.write(message);
  }

  /**
   * Encodes a command that the leader sends to a worker.
   *
   * @param incarnation the incarnation of the worker to which the orders apply
   */
  public static byte[] encodeCommand(
      FencingToken fencingToken, long incarnation, List<Order> orders) {
    Map<String, Object> message = new LinkedHashMap<>();
    message.put(WireFields.FENCING_TOKEN, fencingToken.value());
    message.put(WireFields.INCARNATION, incarnation);
    message.put(WireFields.ORDERS, encode(orders));
    return MessagePackCodec.write(message);
  }

  /**
   * Encodes the body of a 421 response, which redirects a worker.
   *
   * @param node the node to which the worker sends its heartbeats; null when no leader is known
   */
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
      fields.put(WireFields.GRACE_SECONDS, kill.graceMicros() / MICROS_PER_SECOND);
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
