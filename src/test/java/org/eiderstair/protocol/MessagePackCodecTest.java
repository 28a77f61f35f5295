package org.eiderstair.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.io.IOException;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.eiderstair.core.model.JobSpec;
import org.msgpack.core.MessagePack;

class MessagePackCodecTest {
  @Provide
  Arbitrary<Map<String, Object>> messages() {
    Arbitrary<Object> leaf =
        Arbitraries.oneOf(
            Arbitraries.longs().map(x -> (Object) x),
            Arbitraries.doubles().map(x -> x),
            Arbitraries.strings().ofMaxLength(20).map(x -> x),
            Arbitraries.of(true, false).map(x -> x),
            Arbitraries.just((Object) "").map(x -> x));
    Arbitrary<Object> nested =
        Arbitraries.oneOf(
            leaf,
            leaf.list().ofMaxSize(4).map(x -> x),
            Arbitraries.maps(Arbitraries.strings().ofMaxLength(5), leaf).ofMaxSize(4).map(x -> x));
    return Arbitraries.maps(Arbitraries.strings().ofMaxLength(8), nested).ofMaxSize(6);
  }

  @Property(tries = 300, seed = "1")
  void messagesReadBackAsWritten(@ForAll("messages") Map<String, Object> message)
      throws MalformedMessageException {
    assertEquals(message, MessagePackCodec.readMap(MessagePackCodec.write(message)));
  }

  @Property(tries = 1000, seed = "2")
  void anyBytesAreReadOrRefused(@ForAll byte[] bytes) {
    try {
      MessagePackCodec.readMap(bytes);
    } catch (MalformedMessageException expected) {
      // Nothing else may come out of here, whatever arrives.
    }
  }

  /** A few bytes must not make the reader allocate for what they declare to hold. */
  @Example
  void claimedLengthsAreChecked() {
    byte[] hugeMap = {(byte) 0xdf, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
    byte[] hugeList = {
      (byte) 0x81, (byte) 0xa1, 'a', (byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff
    };
    assertThrows(MalformedMessageException.class, () -> MessagePackCodec.readMap(hugeMap));
    assertThrows(MalformedMessageException.class, () -> MessagePackCodec.readMap(hugeList));
  }

  @Example
  void deepNestingIsRefused() throws IOException {
    try (var packer = MessagePack.newDefaultBufferPacker()) {
      packer.packMapHeader(1).packString("a");
      for (int i = 0; i < 50_000; i++) {
        packer.packArrayHeader(1);
      }
      packer.packNil();
      byte[] bytes = packer.toByteArray();
      assertThrows(MalformedMessageException.class, () -> MessagePackCodec.readMap(bytes));
    }
  }

  static Map<String, Object> submission() {
    Map<String, Object> m = new LinkedHashMap<>();
    m.put("Id", "job-000412");
    m.put("JobkindGroup", "train");
    m.put("Crew", "vision");
    m.put("Shape", "sweep");
    m.put("Urgency", "urgent");
    m.put("Pieces", 16L);
    m.put("Cores", 8.0);
    m.put("Accelerators", 1.0);
    m.put("MemoryGb", 64.0);
    m.put("Bundle", "img-07");
    m.put("ImageGb", 6.2);
    m.put("Hulls", List.of("g8"));
    m.put("Fjord", null);
    m.put("OneZone", true);
    m.put("Scatter", false);
    m.put("Driftwood", true);
    m.put("GuessS", 240.0);
    m.put("CairnEveryS", 30.0);
    m.put("CairnS", 4.0);
    m.put("DueS", 900.0);
    return m;
  }

  @Example
  void aSubmissionIsUnderstood() throws MalformedMessageException {
    JobSpec spec = UserMessages.decodeSubmission(submission());
    assertEquals(16, spec.tasks());
    assertEquals(JobSpec.Priority.HIGH, spec.priority());
    assertEquals(900_000_000L, spec.deadlineMicros());
  }

  @Property(seed = "3")
  void aWrongFieldIsNamed(@ForAll("wrongFields") Map.Entry<String, Object> wrong) {
    Map<String, Object> message = submission();
    message.put(wrong.getKey(), wrong.getValue());
    MalformedMessageException refused =
        assertThrows(MalformedMessageException.class, () -> UserMessages.decodeSubmission(message));
    assertEquals(wrong.getKey(), refused.getMessage().split(" ")[0]);
    assertEquals(Optional.of(wrong.getKey()), refused.field());
    assertEquals(wrong.getKey() + " " + refused.problem(), refused.getMessage());
  }

  @Provide
  Arbitrary<Map.Entry<String, Object>> wrongFields() {
    Map<String, List<Object>> wrong =
        Map.of(
            "Pieces",
            List.of(0L, 100_001L, -1L, 4.0, "4"),
            "Cores",
            List.of(-1.0, Double.NaN, Double.POSITIVE_INFINITY, "1"),
            "Shape",
            List.of("group", "", 1L),
            "Urgency",
            List.of("now", true),
            "Id",
            List.of("job-", "412", "job-12a", "job-1/2"),
            "OneZone",
            List.of("yes", 1L),
            "GuessS",
            List.of(-0.5, "x"),
            "DueS",
            List.of(-1.0, Double.NaN),
            "Hulls",
            List.of("g8", List.of(1L)),
            "MemoryGb",
            List.of(-2L, Double.NaN));
    return Arbitraries.of(
        wrong.entrySet().stream()
            .flatMap(e -> e.getValue().stream().map(v -> Map.entry(e.getKey(), v)))
            .toList());
  }
}
