package org.eiderstair.protocol;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.eiderstair.core.Answer;
import org.eiderstair.core.JobSpec;

/** What users send and get. */
public final class UserMessages {
  public static final int MOST_BYTES = 64 * 1024;
  private static final int MOST_TASKS = 100_000;
  private static final int MOST_TYPES = 100;
  private static final int LONGEST_TYPE = 100;
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
  public static boolean isId(String id) {
    return ID.matcher(id).matches();
  }

  /** The id alone, so that a known job can be answered whatever else the message holds. */
  public static String id(Map<String, Object> message) throws Malformed {
    String id = new Fields(message).text("Id");
    if (!isId(id)) {
      throw new Malformed("Id has another form than job-000001");
    }
    return id;
  }

  /** Decodes and checks a submission; the exception names the field that is wrong. */
  public static JobSpec spec(Map<String, Object> message) throws Malformed {
    Fields f = new Fields(message);
    JobSpec.Shape shape = SHAPES.get(f.text("Shape"));
    if (shape == null) {
      throw new Malformed("Shape is unknown");
    }
    JobSpec.Priority priority = URGENCIES.get(f.text("Urgency"));
    if (priority == null) {
      throw new Malformed("Urgency is unknown");
    }
    long tasks = f.whole("Pieces");
    if (tasks < 1 || tasks > MOST_TASKS) {
      throw new Malformed("Pieces is not between 1 and " + MOST_TASKS);
    }
    List<String> types = f.has("Hulls") ? f.texts("Hulls") : null;
    if (types != null
        && (types.size() > MOST_TYPES || types.stream().anyMatch(t -> t.length() > LONGEST_TYPE))) {
      // A job's record must fit into one value of the state service.
      throw new Malformed("Hulls is too long");
    }
    return new JobSpec(
        id(message),
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
  public static byte[] view(Answer.JobView view) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("Id", view.id());
    m.put("Tide", PHASES.get(view.phase()));
    m.put("done", (long) view.done());
    m.put("running", (long) view.running());
    return Pack.write(m);
  }

  /** Encodes the reason of a refusal. */
  public static byte[] error(String reason) {
    return Pack.write(Map.of("error", reason));
  }
}
