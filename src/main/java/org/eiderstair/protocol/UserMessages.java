package org.eiderstair.protocol;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.regex.Pattern;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.model.JobSpec;

/** Encodes and decodes the messages exchanged with users: submissions, job states and errors. */
public final class UserMessages {
  /** The largest request body that is accepted from a user, as JSON. */
  private static final int MAX_JSON_BYTES = 64 * 1024;

  /**
   * The largest request body as MessagePack. No value grows more than an item of a list that takes
   * two bytes as JSON, such as {@code 0,}, and nine as MessagePack.
   */
  public static final int MAX_BYTES = MAX_JSON_BYTES / 2 * 9;

  private static final Set<String> SUBMISSION_FIELDS =
      Set.of(
          WireFields.JOB_ID,
          WireFields.JOB_CLASS,
          WireFields.TEAM,
          WireFields.SHAPE,
          WireFields.PRIORITY,
          WireFields.TASKS,
          WireFields.CPUS,
          WireFields.ACCELERATORS,
          WireFields.MEMORY_GB,
          WireFields.IMAGE,
          WireFields.IMAGE_GB,
          WireFields.MACHINE_TYPES,
          WireFields.ZONE,
          WireFields.ONE_ZONE,
          WireFields.SPREAD,
          WireFields.SPOT,
          WireFields.ESTIMATE_SECONDS,
          WireFields.CHECKPOINT_INTERVAL_SECONDS,
          WireFields.CHECKPOINT_DURATION_SECONDS,
          WireFields.DEADLINE_SECONDS);

  private static final int MAX_TASKS = 100_000;
  private static final int MAX_MACHINE_TYPES = 100;
  private static final int MAX_MACHINE_TYPE_LENGTH = 100;
  private static final Pattern JOB_ID_PATTERN = Pattern.compile("job-[0-9]{1,20}");

  private static final Map<String, JobSpec.Shape> SHAPES =
      Map.of("sweep", JobSpec.Shape.ARRAY, "standing", JobSpec.Shape.SERVICE);

  private static final Map<String, JobSpec.Priority> PRIORITIES =
      Map.of(
          "production",
          JobSpec.Priority.PRODUCTION,
          "urgent",
          JobSpec.Priority.HIGH,
          "normal",
          JobSpec.Priority.NORMAL,
          "low",
          JobSpec.Priority.LOW);

  private static final Map<Answer.Phase, String> STATES =
      Map.of(
          Answer.Phase.PENDING,
          "pending",
          Answer.Phase.RUNNING,
          "running",
          Answer.Phase.DONE,
          "done",
          Answer.Phase.CANCELLED,
          "cancelled");

  private UserMessages() {}

  /** Returns whether a text has the form of a job id. */
  public static boolean isJobId(String id) {
    return JOB_ID_PATTERN.matcher(id).matches();
  }

  /** Reads the fields of a submission; all others are skipped. */
  public static Map<String, Object> readSubmission(byte[] body) throws MalformedMessageException {
    Map<String, Object> message = MessagePackCodec.readMap(body, SUBMISSION_FIELDS, null);
    if (body.length > MAX_JSON_BYTES && MessagePackCodec.jsonSizeBytes(body) > MAX_JSON_BYTES) {
      throw new MalformedMessageException("body too long");
    }
    return message;
  }

  /**
   * Decodes only the job id, so that a known job can be answered even if other fields are
   * malformed.
   */
  public static String decodeJobId(Map<String, Object> message) throws MalformedMessageException {
    String id = new Fields(message).text(WireFields.JOB_ID);
    if (!isJobId(id)) {
      throw new MalformedMessageException(WireFields.JOB_ID, "has another form than job-000001");
    }
    return id;
  }

  /** Decodes and checks a submission. The exception names the first malformed field. */
  public static JobSpec decodeSubmission(Map<String, Object> message)
      throws MalformedMessageException {
    Fields fields = new Fields(message);
    // The answer names the first malformed field, so the order of the checks is part of it.
    JobSpec.Shape shape = lookUp(SHAPES, fields, WireFields.SHAPE);
    JobSpec.Priority priority = lookUp(PRIORITIES, fields, WireFields.PRIORITY);
    int tasks = taskCount(fields);
    List<String> machineTypes = machineTypes(fields);
    return new JobSpec(
        decodeJobId(message),
        fields.text(WireFields.JOB_CLASS),
        fields.text(WireFields.TEAM),
        shape,
        priority,
        tasks,
        fields.amount(WireFields.CPUS),
        fields.amount(WireFields.ACCELERATORS),
        fields.amount(WireFields.MEMORY_GB),
        fields.text(WireFields.IMAGE),
        fields.amount(WireFields.IMAGE_GB),
        machineTypes,
        fields.textOrNull(WireFields.ZONE),
        fields.flag(WireFields.ONE_ZONE),
        fields.flag(WireFields.SPREAD),
        fields.flag(WireFields.SPOT),
        fields.micros(WireFields.ESTIMATE_SECONDS),
        fields.micros(WireFields.CHECKPOINT_INTERVAL_SECONDS),
        fields.micros(WireFields.CHECKPOINT_DURATION_SECONDS),
        fields.microsOrDefault(WireFields.DEADLINE_SECONDS, JobSpec.NO_DEADLINE));
  }

  /** Returns the value for the text of a field, and refuses texts that are not in the map. */
  private static <T> T lookUp(Map<String, T> values, Fields fields, String name)
      throws MalformedMessageException {
    T value = values.get(fields.text(name));
    if (value == null) {
      throw new MalformedMessageException(name, "is unknown");
    }
    return value;
  }

  private static int taskCount(Fields fields) throws MalformedMessageException {
    long tasks = fields.count(WireFields.TASKS);
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new MalformedMessageException(WireFields.TASKS, "is not between 1 and " + MAX_TASKS);
    }
    return (int) tasks;
  }

  /**
   * Returns the allowed machine types, or null when any type is allowed. The list is bounded
   * because the record of a job must fit into one stored value.
   */
  private static List<String> machineTypes(Fields fields) throws MalformedMessageException {
    if (!fields.has(WireFields.MACHINE_TYPES)) {
      return null;
    }
    List<String> types = fields.texts(WireFields.MACHINE_TYPES);
    if (types.size() > MAX_MACHINE_TYPES
        || types.stream().anyMatch(type -> type.length() > MAX_MACHINE_TYPE_LENGTH)) {
      throw new MalformedMessageException(WireFields.MACHINE_TYPES, "is too long");
    }
    return types;
  }

  /** Encodes the state of a job and its numbers of done and running tasks. */
  public static byte[] encodeJobStatus(Answer.JobView view) {
    Map<String, Object> message = new LinkedHashMap<>();
    message.put(WireFields.JOB_ID, view.id());
    message.put(WireFields.STATE, STATES.get(view.phase()));
    message.put(WireFields.TASKS_DONE, (long) view.done());
    message.put(WireFields.TASKS_RUNNING, (long) view.running());
    return MessagePackCodec.write(message);
  }

  /** Encodes the reason why a request was refused or failed. */
  public static byte[] encodeError(String reason) {
    return MessagePackCodec.write(Map.of(WireFields.ERROR, reason));
  }
}
