package org.eiderstair.protocol;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Valid messages of users and workers, which tests send as they are or with a changed field. */
public final class SampleMessages {
  private SampleMessages() {}

  /**
   * Returns a submission of an array job of team "red", whose small tasks may run on any machine.
   */
  public static Map<String, Object> submission(String id, long tasks, double estimateSeconds) {
    Map<String, Object> message = new HashMap<>();
    message.put("Id", id);
    message.put("JobkindGroup", "c");
    message.put("Crew", "red");
    message.put("Shape", "sweep");
    message.put("Urgency", "normal");
    message.put("Pieces", tasks);
    message.put("Cores", 1.0);
    message.put("Accelerators", 0.0);
    message.put("MemoryGb", 1.0);
    message.put("Bundle", "img");
    message.put("ImageGb", 0.1);
    message.put("OneZone", false);
    message.put("Scatter", false);
    message.put("Driftwood", true);
    message.put("GuessS", estimateSeconds);
    message.put("CairnEveryS", 0.0);
    message.put("CairnS", 0.0);
    return message;
  }

  /** The fields of a heartbeat that describe the machine of a worker. */
  public record Worker(String machine, String address, String type, String zone, boolean spot) {}

  /** Returns a heartbeat of a worker in its first incarnation. */
  public static Map<String, Object> heartbeat(
      Worker worker, long sequence, long fencingToken, List<?> tasks) {
    return Map.of(
        "Skerry",
        worker.machine(),
        "Endpoint",
        worker.address(),
        "Hull",
        worker.type(),
        "Fjord",
        worker.zone(),
        "Driftwood",
        worker.spot(),
        "Watch",
        1L,
        "Tally",
        sequence,
        "Baton",
        fencingToken,
        "Pieces",
        tasks);
  }

  /** Returns the entry of a heartbeat for a running task. */
  public static Map<String, Object> runningTask(String task, long attempt) {
    return Map.of("Piece", task, "Try", attempt, "Tide", "running");
  }

  /** Returns the entry of a heartbeat for a completed task. */
  public static Map<String, Object> completedTask(String task, long attempt) {
    return Map.of("Piece", task, "Try", attempt, "Tide", "ended", "Cause", "done");
  }

  /** Returns a copy of the message with one field changed, or removed if the value is null. */
  public static Map<String, Object> with(Map<String, Object> message, String field, Object value) {
    Map<String, Object> changed = new HashMap<>(message);
    if (value == null) {
      changed.remove(field);
    } else {
      changed.put(field, value);
    }
    return changed;
  }
}
