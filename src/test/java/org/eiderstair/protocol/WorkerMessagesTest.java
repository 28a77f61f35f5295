package org.eiderstair.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.TaskId;
import org.msgpack.core.MessagePack;

/**
 * Compares the decoder of heartbeats, which reads tasks as rows without a map for each, with a
 * reference decoder that reads them from maps.
 */
class WorkerMessagesTest {
  private static final Map<String, TaskState> STATES =
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

  /** Decodes a heartbeat from maps, with the names of the wire written out. */
  private static Heartbeat referenceDecode(byte[] body) throws MalformedMessageException {
    Fields fields = new Fields(MessagePackCodec.readMap(body));
    List<Entry> entries = new ArrayList<>();
    for (Object item : fields.list("Pieces")) {
      Fields taskFields = Fields.of(item, "Pieces");
      TaskId task = TaskId.parse(taskFields.text("Piece"));
      TaskState state = STATES.get(taskFields.text("Tide"));
      if (task == null || state == null) {
        throw new MalformedMessageException("Pieces");
      }
      Exit exit =
          state == TaskState.ENDED
              ? EXITS.getOrDefault(String.valueOf(taskFields.raw("Cause")), Exit.ERROR)
              : Exit.NONE;
      entries.add(
          new Entry(
              task,
              taskFields.count("Try"),
              state,
              exit,
              Boolean.TRUE.equals(taskFields.raw("Saved"))));
    }
    return new Heartbeat(
        fields.text("Skerry"),
        fields.text("Endpoint"),
        fields.text("Hull"),
        fields.text("Fjord"),
        fields.flag("Driftwood"),
        fields.count("Watch"),
        fields.count("Tally"),
        new FencingToken(fields.count("Baton")),
        fields.microsOrDefault("WarningS", Heartbeat.NO_NOTICE),
        entries);
  }

  private static Object decodeOrRefuse(byte[] body, boolean byReference) {
    try {
      return byReference ? referenceDecode(body) : WorkerMessages.decodeHeartbeat(body);
    } catch (MalformedMessageException e) {
      return "refused";
    }
  }

  private static Arbitrary<Object> anyValue() {
    return Arbitraries.oneOf(
        Arbitraries.of("running", "ended", "done", "halted", "", "job-1/2").map(x -> x),
        Arbitraries.longs().between(-1, 9).map(x -> x),
        Arbitraries.of(true, false).map(x -> x),
        Arbitraries.just((Object) 1.5),
        Arbitraries.just((Object) List.of(1L, "x")),
        Arbitraries.just((Object) Map.of("Piece", "job-1/1")));
  }

  private static <T> Arbitrary<Object> mostlyValid(Arbitrary<T> valid) {
    return Arbitraries.frequencyOf(
        net.jqwik.api.Tuple.of(40, valid.map(x -> (Object) x)),
        net.jqwik.api.Tuple.of(1, anyValue()),
        net.jqwik.api.Tuple.of(1, Arbitraries.just((Object) "absent")));
  }

  private static Map<String, Object> map(List<String> names, List<Object> values) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < names.size(); i++) {
      if (!"absent".equals(values.get(i))) {
        map.put(names.get(i), values.get(i));
      }
    }
    return map;
  }

  @Provide
  Arbitrary<Map<String, Object>> heartbeats() {
    List<String> taskFieldNames = List.of("Piece", "Try", "Tide", "Cause", "Saved", "Unknown");
    Arbitrary<Object> task =
        Combinators.combine(
                List.of(
                    mostlyValid(
                        Arbitraries.integers().between(0, 99).map(i -> "job-0000" + i + "/" + i)),
                    mostlyValid(Arbitraries.longs().greaterOrEqual(0)),
                    mostlyValid(Arbitraries.of(STATES.keySet())),
                    mostlyValid(Arbitraries.of(EXITS.keySet())),
                    mostlyValid(Arbitraries.of(true, false)),
                    anyValue()))
            .as(values -> map(taskFieldNames, values));
    List<String> fieldNames =
        List.of(
            "Skerry",
            "Endpoint",
            "Hull",
            "Fjord",
            "Driftwood",
            "Watch",
            "Tally",
            "Baton",
            "WarningS",
            "Unknown",
            "Pieces");
    Arbitrary<String> text = Arbitraries.strings().ofMinLength(1).ofMaxLength(30);
    Arbitrary<Object> tasks =
        Arbitraries.frequencyOf(
            net.jqwik.api.Tuple.of(30, task.list().ofMaxSize(12).map(x -> (Object) x)),
            net.jqwik.api.Tuple.of(1, anyValue().list().ofMaxSize(3).map(x -> (Object) x)),
            net.jqwik.api.Tuple.of(1, anyValue()));
    Arbitrary<Long> count = Arbitraries.longs().greaterOrEqual(0);
    return Combinators.combine(
            List.of(
                mostlyValid(text),
                mostlyValid(text),
                mostlyValid(text),
                mostlyValid(text),
                mostlyValid(Arbitraries.of(true, false)),
                mostlyValid(count),
                mostlyValid(count),
                mostlyValid(count),
                mostlyValid(Arbitraries.doubles().between(0, 1e6)),
                anyValue(),
                tasks))
        .as(values -> map(fieldNames, values));
  }

  @Property(tries = 2000, seed = "9")
  void decodesLikeTheReferenceDecoder(@ForAll("heartbeats") Map<String, Object> heartbeat) {
    byte[] body = MessagePackCodec.write(heartbeat);
    assertEquals(decodeOrRefuse(body, true), decodeOrRefuse(body, false));
  }

  @Property(tries = 2000, seed = "10")
  void corruptedBytesAreDecodedOrRefusedLikeTheReference(
      @ForAll("heartbeats") Map<String, Object> heartbeat,
      @ForAll int offset,
      @ForAll byte replacement,
      @ForAll boolean truncate) {
    byte[] body = MessagePackCodec.write(heartbeat);
    int index = Math.floorMod(offset, body.length);
    body[index] = replacement;
    byte[] corrupted = truncate ? java.util.Arrays.copyOf(body, index) : body;
    assertEquals(decodeOrRefuse(corrupted, true), decodeOrRefuse(corrupted, false));
  }

  /** If a message repeats a field, the last value counts. The same must hold for the task list. */
  @Example
  void lastOfTwoTaskListsCounts() throws Exception {
    try (var packer = MessagePack.newDefaultBufferPacker()) {
      packer.packMapHeader(10);
      for (String name : List.of("Skerry", "Endpoint", "Hull", "Fjord")) {
        packer.packString(name).packString("x");
      }
      packer.packString("Driftwood").packBoolean(true);
      for (String name : List.of("Watch", "Tally", "Baton")) {
        packer.packString(name).packLong(1);
      }
      packer.packString("Pieces").packArrayHeader(2).packLong(1).packMapHeader(0);
      packer
          .packString("Pieces")
          .packArrayHeader(1)
          .packMapHeader(3)
          .packString("Piece")
          .packString("job-1/3");
      packer.packString("Try").packLong(4).packString("Tide").packString("running");
      byte[] body = packer.toByteArray();
      assertEquals(referenceDecode(body), WorkerMessages.decodeHeartbeat(body));
      assertEquals(
          new TaskId("job-1", 3), WorkerMessages.decodeHeartbeat(body).tasks().get(0).task());
    }
  }
}
