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

/** The reader of heartbeats that makes no map for each task, against one that does. */
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

  /** As the protocol says it, from maps. */
  private static Heartbeat general(byte[] body) throws MalformedMessageException {
    Fields f = new Fields(MessagePackCodec.readMap(body));
    List<Entry> entries = new ArrayList<>();
    for (Object item : f.list("Pieces")) {
      Fields piece = Fields.of(item, "Pieces");
      TaskId task = TaskId.parse(piece.text("Piece"));
      TaskState state = STATES.get(piece.text("Tide"));
      if (task == null || state == null) {
        throw new MalformedMessageException("Pieces");
      }
      Exit exit =
          state == TaskState.ENDED
              ? EXITS.getOrDefault(piece.text("Cause"), Exit.ERROR)
              : Exit.NONE;
      entries.add(
          new Entry(
              task, piece.count("Try"), state, exit, Boolean.TRUE.equals(piece.raw("Saved"))));
    }
    return new Heartbeat(
        f.text("Skerry"),
        f.text("Endpoint"),
        f.text("Hull"),
        f.text("Fjord"),
        f.flag("Driftwood"),
        f.count("Watch"),
        f.count("Tally"),
        new FencingToken(f.count("Baton")),
        f.microsOr("WarningS", Heartbeat.NO_NOTICE),
        entries);
  }

  private static Object read(byte[] body, boolean general) {
    try {
      return general ? general(body) : WorkerMessages.decodeHeartbeat(body);
    } catch (MalformedMessageException e) {
      return "refused";
    }
  }

  private static Arbitrary<Object> any() {
    return Arbitraries.oneOf(
        Arbitraries.of("running", "ended", "done", "halted", "", "job-1/2").map(x -> x),
        Arbitraries.longs().between(-1, 9).map(x -> x),
        Arbitraries.of(true, false).map(x -> x),
        Arbitraries.just((Object) 1.5),
        Arbitraries.just((Object) List.of(1L, "x")),
        Arbitraries.just((Object) Map.of("Piece", "job-1/1")));
  }

  private static <T> Arbitrary<Object> mostly(Arbitrary<T> good) {
    return Arbitraries.frequencyOf(
        net.jqwik.api.Tuple.of(40, good.map(x -> (Object) x)),
        net.jqwik.api.Tuple.of(1, any()),
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
  Arbitrary<Map<String, Object>> reports() {
    List<String> pieceNames = List.of("Piece", "Try", "Tide", "Cause", "Saved", "Unknown");
    Arbitrary<Object> piece =
        Combinators.combine(
                List.of(
                    mostly(
                        Arbitraries.integers().between(0, 99).map(i -> "job-0000" + i + "/" + i)),
                    mostly(Arbitraries.longs().greaterOrEqual(0)),
                    mostly(Arbitraries.of(STATES.keySet())),
                    mostly(Arbitraries.of(EXITS.keySet())),
                    mostly(Arbitraries.of(true, false)),
                    any()))
            .as(values -> map(pieceNames, values));
    List<String> names =
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
    Arbitrary<Object> pieces =
        Arbitraries.frequencyOf(
            net.jqwik.api.Tuple.of(30, piece.list().ofMaxSize(12).map(x -> (Object) x)),
            net.jqwik.api.Tuple.of(1, any().list().ofMaxSize(3).map(x -> (Object) x)),
            net.jqwik.api.Tuple.of(1, any()));
    Arbitrary<Long> count = Arbitraries.longs().greaterOrEqual(0);
    return Combinators.combine(
            List.of(
                mostly(text),
                mostly(text),
                mostly(text),
                mostly(text),
                mostly(Arbitraries.of(true, false)),
                mostly(count),
                mostly(count),
                mostly(count),
                mostly(Arbitraries.doubles().between(0, 1e6)),
                any(),
                pieces))
        .as(values -> map(names, values));
  }

  @Property(tries = 2000, seed = "9")
  void readsWhatTheGeneralReaderReads(@ForAll("reports") Map<String, Object> report) {
    byte[] body = MessagePackCodec.write(report);
    assertEquals(read(body, true), read(body, false));
  }

  @Property(tries = 2000, seed = "10")
  void refusesWhatTheGeneralReaderRefuses(
      @ForAll("reports") Map<String, Object> report,
      @ForAll int at,
      @ForAll byte other,
      @ForAll boolean cut) {
    byte[] body = MessagePackCodec.write(report);
    int place = Math.floorMod(at, body.length);
    body[place] = other;
    byte[] broken = cut ? java.util.Arrays.copyOf(body, place) : body;
    assertEquals(read(broken, true), read(broken, false));
  }

  /** Of a field that comes twice the last counts, also of the list. */
  @Example
  void theLastOfTwoListsCounts() throws Exception {
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
      assertEquals(general(body), WorkerMessages.decodeHeartbeat(body));
      assertEquals(
          new TaskId("job-1", 3), WorkerMessages.decodeHeartbeat(body).tasks().get(0).task());
    }
  }
}
