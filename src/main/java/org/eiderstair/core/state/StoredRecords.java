package org.eiderstair.core.state;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.model.TaskSet;

/**
 * The values that eiderstair keeps in the state service. Readers ignore fields they do not know, so
 * a newer version may add some while an older one still runs.
 */
public final class StoredRecords {
  static final String ROOT = "e/";
  public static final String LEADER = "e/leader";
  public static final String CATALOG = "e/catalog";
  static final String JOB = "e/job/";
  static final String PROGRESS = "e/prog/";
  static final String REGISTERED_WORKERS = "e/roster/";

  /** Open rentals and returns; their form is the duties' own. */
  static final String DUTY = "e/duty/";

  /** Never dropped; its version is a condition of every transaction of the stateWriter. */
  static final String BARRIER = "e/duty/barrier";

  private StoredRecords() {}

  /** The key of a job. */
  public static String jobKey(String id) {
    return JOB + id;
  }

  static String progressKey(String id) {
    return PROGRESS + id;
  }

  /** The key of a worker's registration. */
  public static String registeredWorkerKey(String machine) {
    return REGISTERED_WORKERS + machine;
  }

  /** The value of an open job. */
  public static Map<String, Object> openJob(JobSpec s) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("s", "open");
    m.put("class", s.jobClass());
    m.put("team", s.team());
    m.put("shape", s.shape().name());
    m.put("prio", s.priority().name());
    m.put("n", (long) s.tasks());
    m.put("cpus", s.cpus());
    m.put("acc", s.accelerators());
    m.put("mem", s.memoryGb());
    m.put("img", s.image());
    m.put("imgGb", s.imageGb());
    m.put("types", s.machineTypes());
    m.put("zone", s.zone());
    m.put("one", s.oneZone());
    m.put("spread", s.spread());
    m.put("spot", s.spotAllowed());
    m.put("est", s.estimateMicros());
    m.put("ckpt", s.checkpointEveryMicros());
    m.put("save", s.saveMicros());
    m.put("due", s.deadlineMicros());
    return m;
  }

  /** A finished job needs no more than its outcome: this bounds memory over long histories. */
  static Map<String, Object> doneJob(int tasks) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("s", "done");
    m.put("n", (long) tasks);
    return m;
  }

  /**
   * A cancelled job keeps its description: a later leader may still find its tasks on machines.
   *
   * @param dayMicros when it was cancelled, by the time of day: also a leader that learns of it
   *     late keeps its deadline
   */
  public static Map<String, Object> cancelledJob(JobSpec spec, int done, long dayMicros) {
    Map<String, Object> m = openJob(spec);
    m.put("s", "cancelled");
    m.put("d", (long) done);
    m.put("c", dayMicros);
    return m;
  }

  /** The value of a job's progress. */
  public static Map<String, Object> progress(BitSet done, int running) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("done", TaskSet.write(done));
    m.put("run", (long) running);
    return m;
  }

  static Job.State jobState(Map<String, Object> m) {
    return Job.State.valueOf(text(m, "s").toUpperCase(Locale.ROOT));
  }

  @SuppressWarnings("unchecked")
  static JobSpec spec(String id, Map<String, Object> m) {
    return new JobSpec(
        id,
        text(m, "class"),
        text(m, "team"),
        JobSpec.Shape.valueOf(text(m, "shape")),
        JobSpec.Priority.valueOf(text(m, "prio")),
        (int) whole(m, "n", 0),
        real(m, "cpus"),
        real(m, "acc"),
        real(m, "mem"),
        text(m, "img"),
        real(m, "imgGb"),
        (List<String>) m.get("types"),
        text(m, "zone"),
        flag(m, "one"),
        flag(m, "spread"),
        flag(m, "spot"),
        whole(m, "est", 0),
        whole(m, "ckpt", 0),
        whole(m, "save", 0),
        whole(m, "due", JobSpec.NO_DEADLINE));
  }

  /** The value of the leader key. */
  public static Map<String, Object> leader(String node, long lease, String runId) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("node", node);
    m.put("lease", lease);
    m.put("run", runId);
    return m;
  }

  /** The value of a worker's registration. */
  public static Map<String, Object> registeredWorkers(
      String address, String type, String zone, boolean spot) {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("addr", address);
    m.put("type", type);
    m.put("zone", zone);
    m.put("spot", spot);
    return m;
  }

  /** The value of the catalogue of machine types. */
  public static Map<String, Object> catalog(List<MachineType> types) {
    List<Object> list = new ArrayList<>();
    for (MachineType t : types) {
      Map<String, Object> m = new LinkedHashMap<>();
      m.put("name", t.name());
      m.put("cpus", t.cpus());
      m.put("acc", t.accelerators());
      m.put("mem", t.memoryGb());
      m.put("cache", t.cacheGb());
      m.put("fetch", t.fetchGbPerS());
      m.put("price", t.price());
      m.put("spot", t.spotPrice());
      m.put("boot", t.bootMicros());
      m.put("zones", t.zones());
      list.add(m);
    }
    Map<String, Object> m = new HashMap<>();
    m.put("types", list);
    return m;
  }

  /** Reads the description of a job. */
  @SuppressWarnings("unchecked")
  public static List<MachineType> catalog(Map<String, Object> value) {
    List<MachineType> types = new ArrayList<>();
    for (Object o : (List<Object>) value.getOrDefault("types", List.of())) {
      Map<String, Object> m = (Map<String, Object>) o;
      types.add(
          new MachineType(
              text(m, "name"),
              real(m, "cpus"),
              real(m, "acc"),
              real(m, "mem"),
              real(m, "cache"),
              real(m, "fetch"),
              real(m, "price"),
              real(m, "spot"),
              whole(m, "boot", 0),
              (List<String>) m.get("zones")));
    }
    return types;
  }

  static String text(Map<String, Object> m, String field) {
    return (String) m.get(field);
  }

  static double real(Map<String, Object> m, String field) {
    return m.get(field) instanceof Number n ? n.doubleValue() : 0;
  }

  /** Reads an integer. */
  public static long whole(Map<String, Object> m, String field, long otherwise) {
    return m.get(field) instanceof Number n ? n.longValue() : otherwise;
  }

  static boolean flag(Map<String, Object> m, String field) {
    return Boolean.TRUE.equals(m.get(field));
  }
}
