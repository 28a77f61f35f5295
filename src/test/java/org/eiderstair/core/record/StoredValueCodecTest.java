package org.eiderstair.core.record;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.protocol.MalformedMessageException;
import org.eiderstair.protocol.MessagePackCodec;

/** Tests that every stored value is decoded, or reported as unreadable with the name of a field. */
class StoredValueCodecTest {
  private static final String JOB = StateKeys.job("job-1");
  private static final String RENTAL = StateKeys.rental("r-1-1");
  private static final String RELEASE = StateKeys.release("1-1");

  /** One sample of each kind of value by key, with every optional field. */
  private static final Map<String, StoredValue> SAMPLES = samples();

  /** Fields by key: a value is unreadable if one of these is missing or has another type. */
  private static final Map<String, Set<String>> REQUIRED =
      Map.of(
          JOB,
          Set.of("s", "shape", "prio"),
          StateKeys.progress("job-1"),
          Set.of("done"),
          RENTAL,
          Set.of("type", "zone", "n", "epoch", "at"),
          RELEASE,
          Set.of("epoch", "ids"));

  /** Fields by key: a value is unreadable if one of these has another type; they may be missing. */
  private static final Map<String, Set<String>> TYPED =
      Map.of(
          JOB,
          Set.of("class", "team", "img", "types", "zone"),
          StateKeys.LEADER,
          Set.of("node", "run"),
          StateKeys.CATALOG,
          Set.of("types"),
          StateKeys.worker("i-1"),
          Set.of("addr", "type", "zone"),
          RENTAL,
          Set.of("ids"));

  private static JobSpec spec(List<String> types, String zone, JobSpec.Priority priority) {
    return new JobSpec(
        "job-1",
        "batch",
        "red",
        JobSpec.Shape.SERVICE,
        priority,
        12,
        0.5,
        1,
        64,
        "img",
        6.2,
        types,
        zone,
        true,
        true,
        true,
        240_000_000,
        30_000_000,
        4_000_000,
        900_000_000);
  }

  private static Map<String, StoredValue> samples() {
    MachineType type = new MachineType("t", 8, 1, 32, 10, 1, 1.5, 0.3, 30_000_000, List.of("a"));
    Map<String, StoredValue> samples = new LinkedHashMap<>();
    samples.put(StateKeys.LEADER, new LeaderRecord("n1", 7, "run-1"));
    samples.put(StateKeys.CATALOG, new CatalogRecord(List.of(type)));
    samples.put(JOB, JobRecord.open(spec(List.of("t"), "a", JobSpec.Priority.HIGH), 99));
    samples.put(StateKeys.progress("job-1"), new ProgressRecord("r:0-3", 2));
    samples.put(StateKeys.worker("i-1"), new WorkerRecord("10.0.0.1:80", "t", "a", true));
    samples.put(StateKeys.BARRIER, new BarrierRecord(70));
    samples.put(StateKeys.STANDBY, new StandbyRecord(70, "n2", "run-2").withTakeover());
    samples.put(RENTAL, new RentalIntentRecord("t", "a", true, 3, 70, 5, List.of("m-1")));
    samples.put(RELEASE, new ReleaseRecord(70, List.of("m-1", "m-2")));
    return samples;
  }

  @Provide
  Arbitrary<String> knownKeys() {
    return Arbitraries.of(SAMPLES.keySet());
  }

  @Provide
  Arbitrary<Object> anyValue() {
    Arbitrary<Object> plain =
        Arbitraries.oneOf(
            Arbitraries.longs().map(value -> (Object) value),
            Arbitraries.doubles().map(value -> (Object) value),
            Arbitraries.strings().ofMaxLength(8).map(value -> (Object) value),
            Arbitraries.of("open", "done", "cancelled", "ARRAY", "LOW", "r:1-", "b:?", ""),
            Arbitraries.of(true, false),
            Arbitraries.just((Object) "x").injectNull(1));
    Arbitrary<Object> lists = plain.list().ofMaxSize(3).map(value -> (Object) value);
    Arbitrary<Object> maps =
        Arbitraries.maps(Arbitraries.of("name", "zones", "cpus", "x"), plain)
            .ofMaxSize(3)
            .map(value -> (Object) value);
    return Arbitraries.oneOf(plain, lists, maps, maps.list().ofMaxSize(2).map(v -> (Object) v));
  }

  @Provide
  Arbitrary<Map<String, Object>> anyFields() {
    Arbitrary<String> names =
        Arbitraries.of(
            "s", "class", "team", "shape", "prio", "n", "cpus", "types", "zone", "done", "run",
            "node", "lease", "addr", "type", "spot", "term", "epoch", "ids", "at", "claimed", "x");
    return Arbitraries.maps(names, anyValue()).ofMaxSize(22);
  }

  private static void assertKind(String key, StoredValue value) {
    if (value instanceof UnreadableValue unreadable) {
      assertTrue(unreadable.problem().contains(":"), "names a field: " + unreadable.problem());
      return;
    }
    assertInstanceOf(SAMPLES.get(key).getClass(), value, key);
  }

  @Example
  void everyKindOfKeyHasASample() {
    Set<StateKeys.Kind> kinds =
        Set.copyOf(SAMPLES.keySet().stream().map(StateKeys::kindOf).toList());
    for (StateKeys.Kind kind : StateKeys.Kind.values()) {
      boolean known = kind != StateKeys.Kind.OTHER_COORDINATION && kind != StateKeys.Kind.UNKNOWN;
      assertEquals(known, kinds.contains(kind), kind.name());
    }
  }

  @Property(seed = "11")
  void decodedJobsEqualEncodedOnes(
      @ForAll Job.State state,
      @ForAll JobSpec.Priority priority,
      @ForAll boolean restricted,
      @ForAll int done,
      @ForAll long day)
      throws MalformedMessageException {
    JobSpec spec = spec(restricted ? List.of("t") : null, restricted ? "a" : null, priority);
    JobRecord record =
        switch (state) {
          case OPEN -> JobRecord.open(spec, day);
          case DONE -> JobRecord.done(done);
          case CANCELLED -> JobRecord.cancelled(spec, done, day);
        };
    assertEquals(record, encodeAndDecode(JOB, record));
  }

  private static StoredValue encodeAndDecode(String key, StoredValue value)
      throws MalformedMessageException {
    byte[] bytes = MessagePackCodec.write(StoredValueCodec.encode(value));
    return StoredValueCodec.decode(key, MessagePackCodec.readMap(bytes));
  }

  @Example
  void decodedValuesEqualEncodedOnes() throws MalformedMessageException {
    for (Map.Entry<String, StoredValue> sample : SAMPLES.entrySet()) {
      assertEquals(sample.getValue(), encodeAndDecode(sample.getKey(), sample.getValue()));
    }
    RentalIntentRecord open = new RentalIntentRecord("t", "a", false, 1, 1, 0, null);
    assertEquals(open, encodeAndDecode(RENTAL, open));
    StandbyRecord none = new StandbyRecord(70, "", "");
    assertEquals(none, encodeAndDecode(StateKeys.STANDBY, none));
  }

  @Property(tries = 3000, seed = "12")
  void arbitraryFieldsAreDecodedOrReportedAsUnreadable(
      @ForAll("knownKeys") String key, @ForAll("anyFields") Map<String, Object> fields) {
    assertKind(key, StoredValueCodec.decode(key, fields));
  }

  @Property(tries = 500, seed = "13")
  void unknownKeysMayHaveAnyFields(@ForAll("anyFields") Map<String, Object> fields) {
    for (String key : List.of("e/", "e/other", "e/leaders", "e/duty/", "e/duty/later", "x")) {
      assertEquals(new UnknownKeyValue(), StoredValueCodec.decode(key, fields), key);
    }
  }

  /** The standby record keeps unknown fields, because it is changed and written again. */
  @Property(tries = 500, seed = "14")
  void unknownFieldsAreIgnored(@ForAll("knownKeys") String key, @ForAll("anyValue") Object value) {
    Map<String, Object> fields = new LinkedHashMap<>(StoredValueCodec.encode(SAMPLES.get(key)));
    fields.put("later", value);
    StoredValue read = StoredValueCodec.decode(key, fields);
    if (read instanceof StandbyRecord standby) {
      assertEquals(fields, StoredValueCodec.encode(standby.withTakeover()));
      assertEquals(
          SAMPLES.get(key),
          new StandbyRecord(
              standby.term(),
              standby.node(),
              standby.runId(),
              standby.takenOver(),
              UnknownFields.NONE));
    } else {
      assertEquals(SAMPLES.get(key), read);
    }
  }

  private static Set<String> fieldsOf(Map<String, Set<String>> table, String key) {
    return table.getOrDefault(key, Set.of());
  }

  @Property(tries = 300, seed = "15")
  void aMissingFieldIsUnreadableOnlyWhereItIsRequired(@ForAll("knownKeys") String key) {
    for (String field : StoredValueCodec.encode(SAMPLES.get(key)).keySet()) {
      Map<String, Object> fields = new LinkedHashMap<>(StoredValueCodec.encode(SAMPLES.get(key)));
      fields.remove(field);
      assertUnreadable(
          fieldsOf(REQUIRED, key).contains(field),
          key,
          field,
          StoredValueCodec.decode(key, fields));
    }
  }

  private static void assertUnreadable(
      boolean expected, String key, String field, StoredValue value) {
    assertEquals(expected, value instanceof UnreadableValue, key + " " + field + ": " + value);
    if (value instanceof UnreadableValue unreadable) {
      assertTrue(unreadable.problem().startsWith(field + ":"), unreadable.problem());
    }
  }

  /** No field has the type of the value that replaces it here, a map. */
  @Property(tries = 300, seed = "16")
  void aFieldOfAnotherTypeIsUnreadableOnlyWhereItsTypeIsRequired(@ForAll("knownKeys") String key) {
    for (String field : StoredValueCodec.encode(SAMPLES.get(key)).keySet()) {
      Map<String, Object> fields = new LinkedHashMap<>(StoredValueCodec.encode(SAMPLES.get(key)));
      fields.put(field, Map.of("x", 1L));
      boolean required =
          fieldsOf(REQUIRED, key).contains(field) || fieldsOf(TYPED, key).contains(field);
      assertUnreadable(required, key, field, StoredValueCodec.decode(key, fields));
    }
  }

  @Example
  void missingOrIllTypedNumbersAndFlagsHaveDefaults() {
    Map<String, Object> fields =
        Map.of("s", "open", "shape", "ARRAY", "prio", "LOW", "n", "12", "spot", 1L, "due", true);
    JobRecord job = (JobRecord) StoredValueCodec.decode(JOB, fields);
    assertEquals(0, job.tasks());
    assertEquals(0.0, job.spec().cpus());
    assertEquals(false, job.spec().spotAllowed());
    assertEquals(JobSpec.NO_DEADLINE, job.spec().deadlineMicros());
    assertEquals(0, job.createdWallClockMicros());
  }

  @Example
  void aFinishedJobIsDecodedWithoutASpec() {
    StoredValue read = StoredValueCodec.decode(JOB, Map.of("s", "done", "n", 3L, "shape", 7L));
    assertEquals(JobRecord.done(3), read);
  }

  @Example
  void aValueWithoutFieldsHasDefaultsOrIsUnreadable() {
    assertEquals(
        new StandbyRecord(0, null, null), StoredValueCodec.decode(StateKeys.STANDBY, Map.of()));
    assertEquals(new BarrierRecord(0), StoredValueCodec.decode(StateKeys.BARRIER, Map.of()));
    assertEquals(
        new LeaderRecord(null, 0, null), StoredValueCodec.decode(StateKeys.LEADER, Map.of()));
    assertEquals(
        new CatalogRecord(List.of()), StoredValueCodec.decode(StateKeys.CATALOG, Map.of()));
    assertEquals(
        new UnreadableValue("s: expected a string"), StoredValueCodec.decode(JOB, Map.of()));
  }

  @Example
  void decodedListsAreUnmodifiable() throws MalformedMessageException {
    CatalogRecord catalog =
        (CatalogRecord) encodeAndDecode(StateKeys.CATALOG, SAMPLES.get(StateKeys.CATALOG));
    ReleaseRecord release = (ReleaseRecord) encodeAndDecode(RELEASE, SAMPLES.get(RELEASE));
    JobRecord job = (JobRecord) encodeAndDecode(JOB, SAMPLES.get(JOB));
    for (List<?> list :
        List.of(
            catalog.types(),
            catalog.types().get(0).zones(),
            release.machines(),
            job.spec().machineTypes())) {
      assertThrows(UnsupportedOperationException.class, list::clear);
    }
  }

  @Example
  void aRentalOfZeroMachinesIsUnreadable() {
    Map<String, Object> fields = new LinkedHashMap<>(StoredValueCodec.encode(SAMPLES.get(RENTAL)));
    fields.put("n", 0L);
    assertEquals(
        new UnreadableValue("n: expected at least 1, got 0"),
        StoredValueCodec.decode(RENTAL, fields));
  }

  @Example
  void unreadableAndUnknownValuesCannotBeEncoded() {
    assertThrows(
        IllegalArgumentException.class,
        () -> StoredValueCodec.encode(new UnreadableValue("n: expected a number")));
    assertThrows(
        IllegalArgumentException.class, () -> StoredValueCodec.encode(new UnknownKeyValue()));
  }
}
