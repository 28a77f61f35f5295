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
 * Converts between stored values and the fields of a message. Readers ignore unknown fields, so a
 * newer version may add fields while an older one still runs. The order of fields is part of the
 * format.
 */
public final class StoredValueCodec {
  private static final Set<String> STANDBY_FIELDS = Set.of("epoch", "node", "run", "claimed");
  private static final Encoder ENCODER = new Encoder();

  private StoredValueCodec() {}

  /**
   * Returns the fields of a value.
   *
   * @throws IllegalArgumentException for an {@link UnreadableValue} or {@link UnknownKeyValue}
   */
  public static Map<String, Object> encode(StoredValue value) {
    return value.accept(ENCODER);
  }

  /**
   * Decodes the value of a key. Returns an {@link UnreadableValue} when the fields cannot be
   * decoded, and an {@link UnknownKeyValue} for an unknown key.
   */
  public static StoredValue decode(String key, Map<String, Object> message) {
    StoredFields fields = new StoredFields(message);
    try {
      return switch (StateKeys.kindOf(key)) {
        case LEADER -> leader(fields);
        case CATALOG -> catalog(fields);
        case JOB -> job(StateKeys.Kind.JOB.idOf(key), fields);
        case PROGRESS ->
            new ProgressRecord(fields.requiredString("done"), (int) fields.longOr("run", 0));
        case WORKER -> worker(fields);
        case BARRIER -> new BarrierRecord(fields.longOr("term", 0));
        case STANDBY -> standby(fields, UnknownFields.of(message, STANDBY_FIELDS));
        case RENTAL -> rentalIntent(fields);
        case RELEASE ->
            new ReleaseRecord(fields.requiredLong("epoch"), fields.requiredStrings("ids"));
        case OTHER_COORDINATION, UNKNOWN -> new UnknownKeyValue();
      };
    } catch (UnreadableValueException e) {
      return new UnreadableValue(e.getMessage());
    }
  }

  private static LeaderRecord leader(StoredFields fields) {
    return new LeaderRecord(
        fields.stringOrNull("node"), fields.longOr("lease", 0), fields.stringOrNull("run"));
  }

  private static CatalogRecord catalog(StoredFields fields) {
    List<MachineType> types = new ArrayList<>();
    for (StoredFields type : fields.mapsOrEmpty("types")) {
      types.add(
          new MachineType(
              type.stringOrNull("name"),
              type.doubleOrZero("cpus"),
              type.doubleOrZero("acc"),
              type.doubleOrZero("mem"),
              type.doubleOrZero("cache"),
              type.doubleOrZero("fetch"),
              type.doubleOrZero("price"),
              type.doubleOrZero("spot"),
              type.longOr("boot", 0),
              type.stringsOrNull("zones")));
    }
    return new CatalogRecord(Collections.unmodifiableList(types));
  }

  private static JobRecord job(String id, StoredFields fields) {
    Job.State state = fields.constantIgnoringCase("s", Job.State.class);
    return new JobRecord(
        state,
        state == Job.State.DONE ? null : spec(id, fields),
        (int) fields.longOr("n", 0),
        (int) fields.longOr("d", 0),
        fields.longOr("at", 0),
        fields.longOr("c", 0));
  }

  private static JobSpec spec(String id, StoredFields fields) {
    return new JobSpec(
        id,
        fields.stringOrNull("class"),
        fields.stringOrNull("team"),
        fields.constant("shape", JobSpec.Shape.class),
        fields.constant("prio", JobSpec.Priority.class),
        (int) fields.longOr("n", 0),
        fields.doubleOrZero("cpus"),
        fields.doubleOrZero("acc"),
        fields.doubleOrZero("mem"),
        fields.stringOrNull("img"),
        fields.doubleOrZero("imgGb"),
        fields.stringsOrNull("types"),
        fields.stringOrNull("zone"),
        fields.flag("one"),
        fields.flag("spread"),
        fields.flag("spot"),
        fields.longOr("est", 0),
        fields.longOr("ckpt", 0),
        fields.longOr("save", 0),
        fields.longOr("due", JobSpec.NO_DEADLINE));
  }

  private static WorkerRecord worker(StoredFields fields) {
    return new WorkerRecord(
        fields.stringOrNull("addr"),
        fields.stringOrNull("type"),
        fields.stringOrNull("zone"),
        fields.flag("spot"));
  }

  private static StandbyRecord standby(StoredFields fields, UnknownFields unknown) {
    return new StandbyRecord(
        fields.longOr("epoch", 0),
        fields.stringIfValid("node"),
        fields.stringIfValid("run"),
        fields.flag("claimed"),
        unknown);
  }

  private static RentalIntentRecord rentalIntent(StoredFields fields) {
    int count = (int) fields.requiredLong("n");
    if (count < 1) {
      throw new UnreadableValueException("n: expected at least 1, got " + count);
    }
    return new RentalIntentRecord(
        fields.requiredNonEmptyString("type"),
        fields.requiredNonEmptyString("zone"),
        fields.flag("spot"),
        count,
        fields.requiredLong("epoch"),
        fields.requiredLong("at"),
        fields.has("ids") ? fields.requiredStrings("ids") : null);
  }

  /** Encodes each kind of value. */
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
      if (value.createdWallClockMicros() != 0) {
        fields.put("at", value.createdWallClockMicros());
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
      fields.put("c", value.cancelledWallClockMicros());
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
      fields.put("at", value.decidedWallClockMicros());
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
      throw new IllegalArgumentException("cannot encode an unreadable value: " + value.problem());
    }

    @Override
    public Map<String, Object> unknownKey(UnknownKeyValue value) {
      throw new IllegalArgumentException("cannot encode the value of an unknown key");
    }
  }
}
