package org.eiderstair.core.record;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;

/**
 * Between stored values and the fields of a message. Readers pass over fields that they do not
 * know, so a newer version may add some while an older one still runs. The order of fields is part
 * of the form.
 */
public final class StoredValueCodec {
  private static final Set<String> STANDBY_FIELDS = Set.of("epoch", "node", "run", "claimed");
  private static final Encoder ENCODER = new Encoder();

  private StoredValueCodec() {}

  /**
   * The fields of a value.
   *
   * @throws IllegalArgumentException for a value that was not understood when it was read
   */
  public static Map<String, Object> encode(StoredValue value) {
    return value.accept(ENCODER);
  }

  /** Reads the value of a key. One of an unknown form is an {@link UnreadableValue}. */
  public static StoredValue decode(String key, Map<String, Object> message) {
    StoredFields fields = new StoredFields(message);
    try {
      return switch (StateKeys.kindOf(key)) {
        case LEADER -> leader(fields);
        case CATALOG -> catalog(fields);
        case JOB -> job(StateKeys.Kind.JOB.idOf(key), fields);
        case PROGRESS -> new ProgressRecord(fields.text("done"), (int) fields.wholeOr("run", 0));
        case WORKER -> worker(fields);
        case BARRIER -> new BarrierRecord(fields.wholeOr("term", 0));
        case STANDBY -> standby(fields, UnknownFields.of(message, STANDBY_FIELDS));
        case RENTAL -> rentalIntent(fields);
        case RELEASE -> new ReleaseRecord(fields.whole("epoch"), fields.texts("ids"));
        case OTHER_DUTY, FOREIGN -> new ForeignValue();
      };
    } catch (UnreadableValueException e) {
      return new UnreadableValue(e.getMessage());
    }
  }

  private static LeaderRecord leader(StoredFields fields) {
    return new LeaderRecord(
        fields.textOrNull("node"), fields.wholeOr("lease", 0), fields.textOrNull("run"));
  }

  private static CatalogRecord catalog(StoredFields fields) {
    List<MachineType> types = new ArrayList<>();
    for (StoredFields type : fields.records("types")) {
      types.add(
          new MachineType(
              type.textOrNull("name"),
              type.real("cpus"),
              type.real("acc"),
              type.real("mem"),
              type.real("cache"),
              type.real("fetch"),
              type.real("price"),
              type.real("spot"),
              type.wholeOr("boot", 0),
              type.textsOrNull("zones")));
    }
    return new CatalogRecord(Collections.unmodifiableList(types));
  }

  private static JobRecord job(String id, StoredFields fields) {
    Job.State state = fields.constant("s", Job.State.class);
    return new JobRecord(
        state,
        state == Job.State.DONE ? null : spec(id, fields),
        (int) fields.wholeOr("n", 0),
        (int) fields.wholeOr("d", 0),
        fields.wholeOr("at", 0),
        fields.wholeOr("c", 0));
  }

  private static JobSpec spec(String id, StoredFields fields) {
    return new JobSpec(
        id,
        fields.textOrNull("class"),
        fields.textOrNull("team"),
        fields.exactConstant("shape", JobSpec.Shape.class),
        fields.exactConstant("prio", JobSpec.Priority.class),
        (int) fields.wholeOr("n", 0),
        fields.real("cpus"),
        fields.real("acc"),
        fields.real("mem"),
        fields.textOrNull("img"),
        fields.real("imgGb"),
        fields.textsOrNull("types"),
        fields.textOrNull("zone"),
        fields.flag("one"),
        fields.flag("spread"),
        fields.flag("spot"),
        fields.wholeOr("est", 0),
        fields.wholeOr("ckpt", 0),
        fields.wholeOr("save", 0),
        fields.wholeOr("due", JobSpec.NO_DEADLINE));
  }

  private static WorkerRecord worker(StoredFields fields) {
    return new WorkerRecord(
        fields.textOrNull("addr"),
        fields.textOrNull("type"),
        fields.textOrNull("zone"),
        fields.flag("spot"));
  }

  private static StandbyRecord standby(StoredFields fields, UnknownFields unknown) {
    return new StandbyRecord(
        fields.wholeOr("epoch", 0),
        fields.textIfAny("node"),
        fields.textIfAny("run"),
        fields.flag("claimed"),
        unknown);
  }

  private static RentalIntentRecord rentalIntent(StoredFields fields) {
    int count = (int) fields.whole("n");
    if (count < 1) {
      throw new UnreadableValueException("n: " + count);
    }
    return new RentalIntentRecord(
        fields.name("type"),
        fields.name("zone"),
        fields.flag("spot"),
        count,
        fields.whole("epoch"),
        fields.whole("at"),
        fields.has("ids") ? fields.texts("ids") : null);
  }

  /** Writes each kind of value. */
  private static final class Encoder implements StoredValue.Visitor<Map<String, Object>> {
    @Override
    public Map<String, Object> leader(LeaderRecord value) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("node", value.node());
      fields.put("lease", value.lease());
      fields.put("run", value.runId());
      return fields;
    }

    @Override
    public Map<String, Object> catalog(CatalogRecord value) {
      List<Object> types = new ArrayList<>();
      value.types().forEach(type -> types.add(machineType(type)));
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("types", types);
      return fields;
    }

    private static Map<String, Object> machineType(MachineType type) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("name", type.name());
      fields.put("cpus", type.cpus());
      fields.put("acc", type.accelerators());
      fields.put("mem", type.memoryGb());
      fields.put("cache", type.cacheGb());
      fields.put("fetch", type.fetchGbPerSecond());
      fields.put("price", type.pricePerHour());
      fields.put("spot", type.spotPricePerHour());
      fields.put("boot", type.bootMicros());
      fields.put("zones", type.zones());
      return fields;
    }

    @Override
    public Map<String, Object> job(JobRecord value) {
      return switch (value.state()) {
        case OPEN -> openJob(value);
        case DONE -> doneJob(value);
        case CANCELLED -> cancelledJob(value);
      };
    }

    private static Map<String, Object> openJob(JobRecord value) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("s", "open");
      putSpec(fields, value.spec());
      if (value.createdDayMicros() != 0) {
        fields.put("at", value.createdDayMicros());
      }
      return fields;
    }

    private static Map<String, Object> doneJob(JobRecord value) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("s", "done");
      fields.put("n", (long) value.tasks());
      return fields;
    }

    private static Map<String, Object> cancelledJob(JobRecord value) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("s", "cancelled");
      putSpec(fields, value.spec());
      fields.put("d", (long) value.done());
      fields.put("c", value.cancelledDayMicros());
      return fields;
    }

    private static void putSpec(Map<String, Object> fields, JobSpec spec) {
      fields.put("class", spec.jobClass());
      fields.put("team", spec.team());
      fields.put("shape", spec.shape().name());
      fields.put("prio", spec.priority().name());
      fields.put("n", (long) spec.tasks());
      fields.put("cpus", spec.cpus());
      fields.put("acc", spec.accelerators());
      fields.put("mem", spec.memoryGb());
      fields.put("img", spec.image());
      fields.put("imgGb", spec.imageGb());
      fields.put("types", spec.machineTypes());
      fields.put("zone", spec.zone());
      fields.put("one", spec.oneZone());
      fields.put("spread", spec.spread());
      fields.put("spot", spec.spotAllowed());
      fields.put("est", spec.estimateMicros());
      fields.put("ckpt", spec.checkpointIntervalMicros());
      fields.put("save", spec.checkpointDurationMicros());
      fields.put("due", spec.deadlineMicros());
    }

    @Override
    public Map<String, Object> progress(ProgressRecord value) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("done", value.doneTasks());
      fields.put("run", (long) value.running());
      return fields;
    }

    @Override
    public Map<String, Object> worker(WorkerRecord value) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("addr", value.address());
      fields.put("type", value.type());
      fields.put("zone", value.zone());
      fields.put("spot", value.spot());
      return fields;
    }

    @Override
    public Map<String, Object> barrier(BarrierRecord value) {
      return Map.of("term", value.term());
    }

    @Override
    public Map<String, Object> rentalIntent(RentalIntentRecord value) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("type", value.type());
      fields.put("zone", value.zone());
      fields.put("spot", value.spot());
      fields.put("n", (long) value.count());
      fields.put("epoch", value.term());
      fields.put("at", value.decidedDayMicros());
      if (value.granted()) {
        fields.put("ids", value.machines());
      }
      return fields;
    }

    @Override
    public Map<String, Object> release(ReleaseRecord value) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("epoch", value.term());
      fields.put("ids", value.machines());
      return fields;
    }

    @Override
    public Map<String, Object> standby(StandbyRecord value) {
      Map<String, Object> fields = new LinkedHashMap<>();
      fields.put("epoch", value.term());
      fields.put("node", value.node());
      fields.put("run", value.runId());
      value.unknownFields().writeTo(fields);
      if (value.takenOver()) {
        fields.put("claimed", true);
      }
      return fields;
    }

    @Override
    public Map<String, Object> unreadable(UnreadableValue value) {
      throw new IllegalArgumentException("cannot write what could not be read: " + value.problem());
    }

    @Override
    public Map<String, Object> foreign(ForeignValue value) {
      throw new IllegalArgumentException("cannot write a value of unknown form");
    }
  }
}
