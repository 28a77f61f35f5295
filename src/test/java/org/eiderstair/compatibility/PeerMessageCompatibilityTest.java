package org.eiderstair.compatibility;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.HeartbeatDigest;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;
import org.eiderstair.peer.PeerMessages;
import org.eiderstair.protocol.MalformedMessageException;

/**
 * Guards against changes of the messages between controllers that peers of version 0.1.0 could not
 * read. Every message must be encoded in the bytes that version 0.1.0 wrote, and be decoded from
 * them.
 */
class PeerMessageCompatibilityTest {
  private static final RecordedBytes RECORDED = RecordedBytes.load("peer-messages.hex");
  private static final TaskId TASK = new TaskId("job-000001", 3);

  private static final Heartbeat HEARTBEAT = heartbeat();
  private static final List<Answer> ANSWERS =
      List.of(
          new Answer.Command(
              new FencingToken(1L << 40),
              List.of(
                  new Order.Launch(TASK, 2),
                  new Order.Kill(TASK, 3, 5_000_000),
                  new Order.Acknowledge(TASK, 4))),
          new Answer.Command(new FencingToken(1), List.of()),
          new Answer.Redirect("n1"),
          new Answer.Redirect(null),
          new Answer.Failure(503, "taking over", 0));
  private static final HeartbeatDigest DIGEST =
      new HeartbeatDigest(
          "run-1",
          true,
          1L << 33,
          false,
          List.of(
              new HeartbeatDigest.Change("i-1", true, 5),
              new HeartbeatDigest.Change("i-2", false, 0)));
  private static final ReplicationBatch BATCH =
      new ReplicationBatch(
          70,
          2,
          401,
          true,
          List.of(
              new ReplicationBatch.Change(true, "i-1", 9, "job-1", 99_999, 1L << 41),
              new ReplicationBatch.Change(false, "i-1", 9, "job-1", 0, 1),
              new ReplicationBatch.Change(true, "i-2", 1, "", 0, 0)));
  private static final ReplicationBatch.Ack ACK = new ReplicationBatch.Ack("run-b", true, 403);
  private static final List<Cancellation> CANCELLATIONS =
      List.of(new Cancellation("job-1", 1L << 35, 7), new Cancellation("job-2", 1, 0));

  private static Heartbeat heartbeat() {
    List<Heartbeat.Entry> tasks = new ArrayList<>();
    for (Heartbeat.TaskState state : Heartbeat.TaskState.values()) {
      for (Heartbeat.Exit exit : Heartbeat.Exit.values()) {
        tasks.add(new Heartbeat.Entry(TASK, tasks.size(), state, exit, tasks.size() % 2 == 0));
      }
    }
    return new Heartbeat(
        "i-1", "10.0.0.1:80", "t", "a", true, 5, 7, new FencingToken(1L << 40), 30_000_000, tasks);
  }

  private static Heartbeat emptyHeartbeat() {
    return new Heartbeat(
        "i-2", "x", "t", "b", false, 0, 0, FencingToken.NONE, Heartbeat.NO_NOTICE, List.of());
  }

  private static Map<String, byte[]> encodeAll() {
    Map<String, byte[]> all = new LinkedHashMap<>();
    all.put("heartbeat", PeerMessages.encodeHeartbeat(HEARTBEAT));
    all.put("heartbeat-empty", PeerMessages.encodeHeartbeat(emptyHeartbeat()));
    for (int i = 0; i < ANSWERS.size(); i++) {
      all.put("answer-" + i, PeerMessages.encodeHeartbeatAnswer(ANSWERS.get(i)));
    }
    all.put(
        "status-served",
        PeerMessages.encodeStateServiceStatus(new Answer.StateServiceStatus(true, "n1", 1L << 40)));
    all.put(
        "status-none",
        PeerMessages.encodeStateServiceStatus(new Answer.StateServiceStatus(false, null, 0)));
    all.put("digest-request", PeerMessages.encodeMembershipRequest("run-1", 12));
    all.put("digest", PeerMessages.encodeHeartbeatDigest(DIGEST));
    all.put("replication", PeerMessages.encodeReplicationBatch(BATCH));
    all.put("replication-ack", PeerMessages.encodeReplicationAck(ACK));
    all.put("cancellations", PeerMessages.encodeCancellations(CANCELLATIONS));
    return all;
  }

  @Example
  void everyMessageIsEncodedInTheRecordedBytes() {
    RECORDED.assertSameBytes(encodeAll());
  }

  @Example
  void everyRecordedMessageIsDecoded() throws MalformedMessageException {
    assertEquals(HEARTBEAT, PeerMessages.decodeHeartbeat(RECORDED.get("heartbeat")));
    assertEquals(emptyHeartbeat(), PeerMessages.decodeHeartbeat(RECORDED.get("heartbeat-empty")));
    for (int i = 0; i < ANSWERS.size(); i++) {
      assertEquals(ANSWERS.get(i), PeerMessages.decodeHeartbeatAnswer(RECORDED.get("answer-" + i)));
    }
    assertEquals(
        new Reply.PeerStateServiceStatus(true, "n1", 1L << 40),
        PeerMessages.decodeStateServiceStatus(RECORDED.get("status-served")));
    assertEquals(
        new Reply.PeerStateServiceStatus(false, null, 0),
        PeerMessages.decodeStateServiceStatus(RECORDED.get("status-none")));
    assertEquals(
        new Event.MembershipRequested(9, "run-1", 12),
        PeerMessages.decodeMembershipRequest(9, RECORDED.get("digest-request")));
    assertEquals(DIGEST, PeerMessages.decodeHeartbeatDigest(RECORDED.get("digest")).digest());
    assertEquals(BATCH, PeerMessages.decodeReplicationBatch(RECORDED.get("replication")));
    assertEquals(ACK, PeerMessages.decodeReplicationAck(RECORDED.get("replication-ack")).ack());
    assertEquals(CANCELLATIONS, PeerMessages.decodeCancellations(RECORDED.get("cancellations")));
  }
}
