package org.eiderstair.protocol;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Collections;
import java.util.List;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.HeartbeatDigest;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;
import org.eiderstair.peer.PeerMessages;

/** Tests of encoding and decoding the messages between controllers. */
class PeerMessagesTest {
  @Property(tries = 200, seed = "4")
  void relayedHeartbeatsRoundTrip(
      @ForAll long incarnation,
      @ForAll long fencingToken,
      @ForAll int index,
      @ForAll Heartbeat.TaskState state,
      @ForAll Heartbeat.Exit exit,
      @ForAll boolean spot)
      throws MalformedMessageException {
    Heartbeat heartbeat =
        new Heartbeat(
            "i-1",
            "10.0.0.1:1",
            "t",
            "z",
            spot,
            incarnation,
            7,
            new FencingToken(fencingToken),
            -1,
            List.of(
                new Heartbeat.Entry(
                    new TaskId("job-000001", index), fencingToken, state, exit, !spot)));
    assertEquals(heartbeat, PeerMessages.decodeHeartbeat(PeerMessages.encodeHeartbeat(heartbeat)));
  }

  @Example
  void answersToRelayedHeartbeatsRoundTrip() throws MalformedMessageException {
    TaskId task = new TaskId("job-000001", 3);
    List<Answer> answers =
        List.of(
            new Answer.Command(
                new FencingToken(1L << 40),
                List.of(
                    new Order.Launch(task, 2),
                    new Order.Kill(task, 3, 5_000_000),
                    new Order.Acknowledge(task, 4))),
            new Answer.Redirect("n1"),
            new Answer.Redirect(null),
            new Answer.Failure(503, "taking over", 0));
    for (Answer answer : answers) {
      assertEquals(
          answer, PeerMessages.decodeHeartbeatAnswer(PeerMessages.encodeHeartbeatAnswer(answer)));
    }
  }

  @Property(tries = 100, seed = "6")
  void digestsRoundTrip(@ForAll String runId, @ForAll long afterSequence, @ForAll boolean full)
      throws MalformedMessageException {
    HeartbeatDigest digest =
        new HeartbeatDigest(
            runId,
            full,
            afterSequence,
            !full,
            List.of(
                new HeartbeatDigest.Change("i-000001", full, afterSequence),
                new HeartbeatDigest.Change("", !full, 0)));
    assertEquals(
        digest,
        PeerMessages.decodeHeartbeatDigest(PeerMessages.encodeHeartbeatDigest(digest)).digest());
    assertEquals(
        new Event.MembershipRequested(9, runId, afterSequence),
        PeerMessages.decodeMembershipRequest(
            9, PeerMessages.encodeMembershipRequest(runId, afterSequence)));
  }

  @Property(tries = 100, seed = "7")
  void replicationBatchesRoundTrip(
      @ForAll long term,
      @ForAll long firstSequence,
      @ForAll boolean more,
      @ForAll String job,
      @ForAll int index)
      throws MalformedMessageException {
    ReplicationBatch batch =
        new ReplicationBatch(
            term,
            2,
            firstSequence,
            more,
            List.of(
                new ReplicationBatch.Change(more, "i-000001", term, job, index, firstSequence),
                new ReplicationBatch.Change(true, "i-000002", 1, "", 0, 0)));
    assertEquals(
        batch, PeerMessages.decodeReplicationBatch(PeerMessages.encodeReplicationBatch(batch)));
    ReplicationBatch.Ack ack = new ReplicationBatch.Ack(job, more, firstSequence);
    assertEquals(
        ack, PeerMessages.decodeReplicationAck(PeerMessages.encodeReplicationAck(ack)).ack());
  }

  /**
   * A batch or digest with the maximum number of changes must be within the size limit of a
   * message, even with names of machines and jobs that are longer than those of any cloud or user.
   */
  @Example
  void fullBatchesAndDigestsAreWithinTheSizeLimit() {
    String machine = "i-" + "0".repeat(100);
    String job = "job-" + "9".repeat(20);
    List<ReplicationBatch.Change> changes =
        Collections.nCopies(
            400,
            new ReplicationBatch.Change(
                true, machine, Long.MAX_VALUE, job, Integer.MAX_VALUE, Long.MAX_VALUE));
    byte[] batch =
        PeerMessages.encodeReplicationBatch(
            new ReplicationBatch(Long.MAX_VALUE, 1, Long.MAX_VALUE, true, changes));
    assertTrue(batch.length < PeerMessages.MAX_BYTES, batch.length + " bytes");
    byte[] digest =
        PeerMessages.encodeHeartbeatDigest(
            new HeartbeatDigest(
                "run",
                true,
                Long.MAX_VALUE,
                true,
                Collections.nCopies(
                    400, new HeartbeatDigest.Change(machine, true, Long.MAX_VALUE))));
    assertTrue(digest.length < PeerMessages.MAX_BYTES, digest.length + " bytes");
  }

  @Property(tries = 500, seed = "5")
  void arbitraryBytesAreDecodedOrRefused(@ForAll byte[] bytes) {
    try {
      PeerMessages.decodeHeartbeat(bytes);
    } catch (MalformedMessageException expected) {
      // No other exception may be thrown for any input.
    }
    try {
      PeerMessages.decodeMembershipRequest(1, bytes);
    } catch (MalformedMessageException expected) {
      // No other exception may be thrown for any input.
    }
    try {
      PeerMessages.decodeReplicationBatch(bytes);
    } catch (MalformedMessageException expected) {
      // No other exception may be thrown for any input.
    }
    try {
      PeerMessages.decodeReplicationAck(bytes);
    } catch (MalformedMessageException expected) {
      // No other exception may be thrown for any input.
    }
    try {
      PeerMessages.decodeHeartbeatDigest(bytes);
    } catch (MalformedMessageException expected) {
      // No other exception may be thrown for any input.
    }
  }
}
