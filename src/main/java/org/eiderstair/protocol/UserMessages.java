package org.eiderstair.protocol;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.model.JobSpec;

/** What users send and get. */
public final class UserMessages {
  public static final int MAX_BYTES = 64 * 1024;
  private static final int MAX_TASKS = 100_000;
  private static final int MAX_TYPES = 100;
  private static final int MAX_TYPE = 100;
  private static final Pattern ID = Pattern.compile("job-[0-9]{1,20}");
  private static final Map<String, JobSpec.Shape> SHAPES =
      Map.of("sweep", JobSpec.Shape.ARRAY, "standing", JobSpec.Shape.SERVICE);
  private static final Map<String, JobSpec.Priority> URGENCIES =
      Map.of(
          "production",
          JobSpec.Priority.PRODUCTION,
          "urgent",
          JobSpec.Priority.HIGH,
          "normal",
          JobSpec.Priority.NORMAL,
          "low",
          JobSpec.Priority.LOW);
  private static final Map<Answer.Phase, String> PHASES =
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

  /** Whether a text has the form of a job id. */
  public static boolean isJobId(String id) {
    return ID.matcher(id).matches();
  }

  /** The id alone, so that a known job can be answered whatever else the message holds. */
  public static String decodeJobId(Map<String, Object> message) throws MalformedMessageException {
    String id = new Fields(message).text("Id");
    if (!isJobId(id)) {
      throw new MalformedMessageException("Id has another form than job-000001");
    }
    return id;
  }

  /** Decodes and checks a submission; the exception names the field that is wrong. */
  public static JobSpec decodeSubmission(Map<String, Object> message)
      throws MalformedMessageException {
    Fields f = new Fields(message);
    JobSpec.Shape shape = SHAPES.get(f.text("Shape"));
    if (shape == null) {
      throw new MalformedMessageException("Shape is unknown");
    }
    JobSpec.Priority priority = URGENCIES.get(f.text("Urgency"));
    if (priority == null) {
      throw new MalformedMessageException("Urgency is unknown");
    }
    long tasks = f.whole("Pieces");
    if (tasks < 1 || tasks > MAX_TASKS) {
      throw new MalformedMessageException("Pieces is not between 1 and " + MAX_TASKS);
    }
    List<String> types = f.has("Hulls") ? f.texts("Hulls") : null;
    if (types != null
        && (types.size() > MAX_TYPES || types.stream().anyMatch(t -> t.length() > MAX_TYPE))) {
      // A job's record must fit into one value of the state service.
      throw new MalformedMessageException("Hulls is too long");
    }
    return new JobSpec(
        decodeJobId(message),
        f.text("JobkindGroup"),
        f.text("Crew"),
        shape,
        priority,
        (int) tasks,
        f.amount("Cores"),
        f.amount("Accelerators"),
        f.amount("MemoryGb"),
        f.text("Bundle"),
        f.amount("ImageGb"),
        types,
        f.textOrNull("Fjord"),
        f.flag("OneZone"),
        f.flag("Scatter"),
        f.flag("Driftwood"),
        f.micros("GuessS"),
        f.micros("CairnEveryS"),
        f.micros("CairnS"),
        f.microsOr("DueS", JobSpec.NO_DEADLINE));
  }

  /** Encodes the state of a job. */
  public static byte[] encodeJobStatus(Answer.JobView view) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("Id", view.id());
    m.put("Tide", PHASES.get(view.phase()));
    m.put("done", (long) view.done());
    m.put("running", (long) view.running());
    return MessagePackCodec.write(m);
  }

  /** Encodes the reason of a refusal. */
  public static byte[] encodeError(String reason) {
    return MessagePackCodec.write(Map.of("error", reason));
  }
}
