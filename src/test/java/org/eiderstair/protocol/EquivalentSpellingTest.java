package org.eiderstair.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.math.BigInteger;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.JobSpec;

/** Messages mean the same in every spelling, and unknown fields change nothing. */
class EquivalentSpellingTest {
  private static final SampleMessages.Worker WORKER =
      new SampleMessages.Worker("i-000231", "10.1.0.232:9000", "g8", "a", true);

  private static JobSpec submission(byte[] body) throws MalformedMessageException {
    return UserMessages.decodeSubmission(UserMessages.readSubmission(body));
  }

  @Example
  void recordedSubmissionWithLargeIntegerInUnknownFieldIsDecoded() throws Exception {
    byte[] body = RecordedSubmission.body("job-733759", "marking-core");
    assertEquals(RecordedSubmission.RECORDED_LENGTH, body.length);
    JobSpec spec = submission(body);
    assertEquals("job-733759", spec.id());
    assertEquals(16, spec.tasks());
    assertEquals(40_000_000, spec.estimateMicros());
    assertEquals(JobSpec.NO_DEADLINE, spec.deadlineMicros());
  }

  @Property(tries = 3000, seed = "21")
  void submissionMeansTheSameInEverySpelling(@ForAll long seed) throws Exception {
    Map<String, Object> message = MessagePackCodecTest.submission();
    assertEquals(
        submission(MessagePackCodec.write(message)),
        submission(MessageSpelling.encode(message, seed)));
  }

  @Property(tries = 3000, seed = "22")
  void heartbeatMeansTheSameInEverySpelling(@ForAll long seed) throws Exception {
    Map<String, Object> message =
        SampleMessages.heartbeat(
            WORKER,
            88,
            41,
            List.of(
                SampleMessages.runningTask("job-000412/3", 2),
                SampleMessages.completedTask("job-000398/0", 1L << 40)));
    Heartbeat plain = WorkerMessages.decodeHeartbeat(MessagePackCodec.write(message));
    assertEquals(plain, WorkerMessages.decodeHeartbeat(MessageSpelling.encode(message, seed)));
  }

  @Property(tries = 1000, seed = "23")
  void answersOfStateServiceAndCloudMeanTheSameInEverySpelling(@ForAll long seed) throws Exception {
    Map<String, Object> item = Map.of("K", "other/key", "Data", Map.of("a", 1L), "Stamp", 412L);
    Map<String, Object> listed =
        Map.of("Entries", List.of(item), "Truncated", true, "LedgerRev", 431L);
    Map<String, Object> deleted = Map.of("Drop", "c/d", "Stamp", 432L);
    Map<String, Object> changed = Map.of("LedgerRev", 433L, "News", List.of(deleted));
    Map<String, Object> conflict = Map.of("failed", List.of("a/b"), "LedgerRev", 431L);
    Map<String, Object> machine =
        Map.of(
            "Id",
            "i-1",
            "Endpoint",
            "e",
            "Hull",
            "g8",
            "Fjord",
            "a",
            "Driftwood",
            true,
            "Tide",
            "running",
            "AgeS",
            61.5);
    Map<String, Object> machines = Map.of("Skerries", List.of(machine), "Truncated", false);
    assertSame(StoreMessages::decodeListed, listed, seed);
    assertSame(StoreMessages::decodeChanged, changed, seed);
    assertSame(StoreMessages::decodeConflict, conflict, seed);
    assertSame(StoreMessages::decodeApplied, Map.of("LedgerRev", 1L << 52), seed);
    assertSame(CloudMessages::decodeMachines, machines, seed);
    assertSame(CloudMessages::decodeRented, Map.of("Skerries", List.of("i-1")), seed);
  }

  private interface Decoder {
    Object decode(Map<String, Object> message) throws MalformedMessageException;
  }

  private static void assertSame(Decoder decoder, Map<String, Object> message, long seed)
      throws MalformedMessageException {
    byte[] plain = MessagePackCodec.write(message);
    byte[] spelled = MessageSpelling.encode(message, seed);
    assertEquals(
        decoder.decode(MessagePackCodec.readMap(plain)),
        decoder.decode(MessagePackCodec.readMap(spelled)));
  }

  @Property(tries = 1000, seed = "24")
  void oneFaultIsRefusedAndNamedInEverySpelling(
      @ForAll("faults") Map.Entry<String, Object> fault, @ForAll long seed) throws Exception {
    Map<String, Object> message = MessagePackCodecTest.submission();
    message.put(fault.getKey(), fault.getValue());
    Map<String, Object> read = UserMessages.readSubmission(MessageSpelling.encode(message, seed));
    MalformedMessageException exception =
        assertThrows(MalformedMessageException.class, () -> UserMessages.decodeSubmission(read));
    assertEquals(Optional.of(fault.getKey()), exception.field());
  }

  @Provide
  Arbitrary<Map.Entry<String, Object>> faults() {
    return Arbitraries.of(
        Map.entry("Pieces", 4.5),
        Map.entry("Pieces", List.of(1L)),
        Map.entry("Cores", "1"),
        Map.entry("Shape", Map.of()),
        Map.entry("Id", "job-12a"),
        Map.entry("OneZone", 1L),
        Map.entry("Hulls", List.of(1L)),
        Map.entry("Crew", List.of()),
        Map.entry("DueS", -1.0));
  }

  /** Each value is one that a known field cannot hold and an unknown field may hold. */
  @Example
  void unreadableValueInKnownFieldIsRefusedWithTheFieldNamed() throws Exception {
    byte[][] values = {
      {(byte) 0xcf, -1, -1, -1, -1, -1, -1, -1, -1},
      {(byte) 0xc4, 1, 7},
      {(byte) 0xd6, -1, 1, 2, 3, 4},
      {(byte) 0x81, 1, 2},
    };
    for (byte[] value : values) {
      byte[] plain = MessagePackCodec.write(Map.of("Id", "job-000001", "Pieces", "*"));
      int at = new String(plain, StandardCharsets.ISO_8859_1).indexOf("*") - 1;
      byte[] body = new byte[plain.length - 2 + value.length];
      System.arraycopy(plain, 0, body, 0, at);
      System.arraycopy(value, 0, body, at, value.length);
      System.arraycopy(plain, at + 2, body, at + value.length, plain.length - at - 2);
      Map<String, Object> read = UserMessages.readSubmission(body);
      assertEquals("job-000001", UserMessages.decodeJobId(read));
      assertThrows(MalformedMessageException.class, () -> new Fields(read).count(WireFields.TASKS));
    }
  }

  @Example
  void leaseIdIsReadAndSentOverItsWholeRange() throws Exception {
    byte[] granted =
        MessagePackCodec.write(Map.of("Tenure", new BigInteger("18446744073709551614")));
    Reply.LeaseGranted reply =
        (Reply.LeaseGranted) StoreMessages.decodeLeaseGranted(MessagePackCodec.readMap(granted));
    assertEquals("/leases/18446744073709551614/touch", StoreMessages.renewPath(reply.leaseId()));
    assertEquals("/leases/18446744073709551614", StoreMessages.leasePath(reply.leaseId()));
  }
}
