package org.eiderstair.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.eiderstair.core.model.JobSpec;
import org.msgpack.core.MessagePack;

/** Tests of the MessagePack codec, and of decoding submissions with it. */
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
  void messagesRoundTrip(@ForAll("messages") Map<String, Object> message)
      throws MalformedMessageException {
    assertEquals(message, MessagePackCodec.readMap(MessagePackCodec.write(message)));
  }

  @Property(tries = 1000, seed = "2")
  void arbitraryBytesAreDecodedOrRefused(@ForAll byte[] bytes) {
    try {
      MessagePackCodec.readMap(bytes);
    } catch (MalformedMessageException expected) {
      // No other exception may be thrown for any input.
    }
  }

  /**
   * A short message that declares a huge map or list must be refused before memory is allocated for
   * it.
   */
  @Example
  void declaredLengthsBeyondTheMessageAreRefused() {
    byte[] hugeMap = {(byte) 0xdf, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff};
    byte[] hugeList = {
      (byte) 0x81, (byte) 0xa1, 'a', (byte) 0xdd, 0x7f, (byte) 0xff, (byte) 0xff, (byte) 0xff
    };
    assertThrows(MalformedMessageException.class, () -> MessagePackCodec.readMap(hugeMap));
    assertThrows(MalformedMessageException.class, () -> MessagePackCodec.readMap(hugeList));
  }

  @Example
  void deepNestingIsRefusedInAKnownFieldAndSkippedInOthers() throws Exception {
    try (var packer = MessagePack.newDefaultBufferPacker()) {
      packer.packMapHeader(2).packString("Id").packString("job-000001").packString("Hulls");
      for (int i = 0; i < 50_000; i++) {
        packer.packArrayHeader(1);
      }
      packer.packNil();
      byte[] bytes = packer.toByteArray();
      Map<String, Object> message = MessagePackCodec.readMap(bytes);
      assertThrows(MalformedMessageException.class, () -> new Fields(message).texts("Hulls"));
      assertEquals(Map.of("Id", "job-000001"), MessagePackCodec.readMap(bytes, Set.of("Id"), null));
    }
  }

  static Map<String, Object> submission() {
    Map<String, Object> message = new LinkedHashMap<>();
    message.put("Id", "job-000412");
    message.put("JobkindGroup", "train");
    message.put("Crew", "vision");
    message.put("Shape", "sweep");
    message.put("Urgency", "urgent");
    message.put("Pieces", 16L);
    message.put("Cores", 8.0);
    message.put("Accelerators", 1.0);
    message.put("MemoryGb", 64.0);
    message.put("Bundle", "img-07");
    message.put("ImageGb", 6.2);
    message.put("Hulls", List.of("g8"));
    message.put("Fjord", null);
    message.put("OneZone", true);
    message.put("Scatter", false);
    message.put("Driftwood", true);
    message.put("GuessS", 240.0);
    message.put("CairnEveryS", 30.0);
    message.put("CairnS", 4.0);
    message.put("DueS", 900.0);
    return message;
  }

  @Example
  void submissionIsDecoded() throws MalformedMessageException {
    JobSpec spec = UserMessages.decodeSubmission(submission());
    assertEquals(16, spec.tasks());
    assertEquals(JobSpec.Priority.HIGH, spec.priority());
    assertEquals(900_000_000L, spec.deadlineMicros());
  }

  @Property(seed = "3")
  void exceptionNamesTheMalformedField(
      @ForAll("malformedFields") Map.Entry<String, Object> malformed) {
    Map<String, Object> message = submission();
    message.put(malformed.getKey(), malformed.getValue());
    MalformedMessageException exception =
        assertThrows(MalformedMessageException.class, () -> UserMessages.decodeSubmission(message));
    assertEquals(malformed.getKey(), exception.getMessage().split(" ")[0]);
    assertEquals(Optional.of(malformed.getKey()), exception.field());
    assertEquals(malformed.getKey() + " " + exception.problem(), exception.getMessage());
  }

  @Provide
  Arbitrary<Map.Entry<String, Object>> malformedFields() {
    Map<String, List<Object>> malformed =
        Map.of(
            "Pieces",
            List.of(0L, 100_001L, -1L, 4.5, 0.0, 1e19, "4"),
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
        malformed.entrySet().stream()
            .flatMap(e -> e.getValue().stream().map(v -> Map.entry(e.getKey(), v)))
            .toList());
  }
}
