package org.eiderstair.peer;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.apache.avro.AvroRuntimeException;
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
import org.eiderstair.peer.wire.CancellationsTold;
import org.eiderstair.peer.wire.CancelledJob;
import org.eiderstair.peer.wire.HeardAsk;
import org.eiderstair.peer.wire.HeardChange;
import org.eiderstair.peer.wire.HeardTold;
import org.eiderstair.peer.wire.PeerStanding;
import org.eiderstair.peer.wire.RelayedAnswer;
import org.eiderstair.peer.wire.RelayedExit;
import org.eiderstair.peer.wire.RelayedOrder;
import org.eiderstair.peer.wire.RelayedReport;
import org.eiderstair.peer.wire.RelayedState;
import org.eiderstair.peer.wire.RelayedTask;
import org.eiderstair.peer.wire.RelayedVerb;
import org.eiderstair.peer.wire.StandbyAck;
import org.eiderstair.peer.wire.StandbyBatch;
import org.eiderstair.peer.wire.StandbyChange;
import org.eiderstair.protocol.MalformedMessageException;

/**
 * What controllers send each other, in Avro's single-object encoding: every message names its
 * schema, so nodes of two versions understand each other or know that they do not.
 */
public final class PeerMessages {
  public static final String RELAY_PATH = "/peer/relay";
  public static final String MEMBERSHIP_PATH = "/peer/heard";
  public static final String REPLICATION_PATH = "/peer/standby";
  public static final String CANCELLATIONS_PATH = "/peer/cancelled";
  public static final String STATE_SERVICE_STATUS_PATH = "/peer/standing";
  public static final int MAX_BYTES = 128 * 1024;

  private PeerMessages() {}

  /** Encodes a worker's report that is passed on to the leader. */
  public static byte[] encodeHeartbeat(Heartbeat r) {
    List<RelayedTask> tasks = new ArrayList<>(r.tasks().size());
    for (Heartbeat.Entry e : r.tasks()) {
      tasks.add(
          new RelayedTask(
              e.task().job(),
              e.task().index(),
              e.attempt(),
              RelayedState.valueOf(e.state().name()),
              RelayedExit.valueOf(e.exit().name()),
              e.saved()));
    }
    try {
      return bytes(
          RelayedReport.getEncoder()
              .encode(
                  new RelayedReport(
                      r.machine(),
                      r.address(),
                      r.type(),
                      r.zone(),
                      r.spot(),
                      r.incarnation(),
                      r.sequence(),
                      r.fencingToken().value(),
                      r.noticeMicros(),
                      tasks)));
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /** Decodes a worker's report that a peer has passed on. */
  public static Heartbeat decodeHeartbeat(byte[] bytes) throws MalformedMessageException {
    try {
      RelayedReport r = RelayedReport.getDecoder().decode(bytes);
      List<Heartbeat.Entry> tasks = new ArrayList<>(r.getTasks().size());
      for (RelayedTask t : r.getTasks()) {
        tasks.add(
            new Heartbeat.Entry(
                new TaskId(t.getJob(), t.getIndex()),
                t.getAttempt(),
                Heartbeat.TaskState.valueOf(t.getState().name()),
                Heartbeat.Exit.valueOf(t.getExit().name()),
                t.getSaved()));
      }
      return new Heartbeat(
          r.getMachine(),
          r.getAddress(),
          r.getType(),
          r.getZone(),
          r.getSpot(),
          r.getSession(),
          r.getSequence(),
          new FencingToken(r.getToken()),
          r.getNoticeMicros(),
          tasks);
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not a relayed report: " + e.getMessage());
    }
  }

  /** Encodes the leader's answer to a report that was passed on. */
  public static byte[] encodeHeartbeatAnswer(Answer answer) {
    RelayedAnswer a = new RelayedAnswer(503, 0L, List.of(), null, "");
    if (answer instanceof Answer.Command command) {
      List<RelayedOrder> orders = new ArrayList<>(command.orders().size());
      for (Order o : command.orders()) {
        RelayedVerb verb =
            o instanceof Order.Launch
                ? RelayedVerb.LAUNCH
                : o instanceof Order.Kill ? RelayedVerb.KILL : RelayedVerb.REAP;
        long grace = o instanceof Order.Kill kill ? kill.graceMicros() : 0;
        orders.add(new RelayedOrder(verb, o.task().job(), o.task().index(), o.attempt(), grace));
      }
      a = new RelayedAnswer(200, command.fencingToken().value(), orders, null, "");
    } else if (answer instanceof Answer.Redirect redirect) {
      a = new RelayedAnswer(421, 0L, List.of(), redirect.node(), "");
    } else if (answer instanceof Answer.Failure failure) {
      a = new RelayedAnswer(failure.status(), 0L, List.of(), null, failure.reason());
    }
    try {
      return bytes(RelayedAnswer.getEncoder().encode(a));
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /** Decodes the leader's answer to a report that was passed on. */
  public static Answer decodeHeartbeatAnswer(byte[] bytes) throws MalformedMessageException {
    try {
      RelayedAnswer a = RelayedAnswer.getDecoder().decode(bytes);
      if (a.getStatus() == 200) {
        List<Order> orders = new ArrayList<>(a.getOrders().size());
        for (RelayedOrder o : a.getOrders()) {
          TaskId task = new TaskId(o.getJob(), o.getIndex());
          orders.add(
              switch (o.getVerb()) {
                case LAUNCH -> new Order.Launch(task, o.getAttempt());
                case KILL -> new Order.Kill(task, o.getAttempt(), o.getGraceMicros());
                case REAP -> new Order.Acknowledge(task, o.getAttempt());
              });
        }
        return new Answer.Command(new FencingToken(a.getToken()), orders);
      }
      return a.getStatus() == 421
          ? new Answer.Redirect(a.getNode())
          : new Answer.Failure(a.getStatus(), a.getReason(), 0);
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not a relayed answer: " + e.getMessage());
    }
  }

  /** Encodes whether the state service serves this node, and whom it follows. */
  public static byte[] encodeStateServiceStatus(Answer.StateServiceStatus standing) {
    try {
      return bytes(
          PeerStanding.getEncoder()
              .encode(new PeerStanding(standing.served(), standing.leader(), standing.term())));
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /** Decodes whether the state service serves a peer, and whom that follows. */
  public static Reply.PeerStateServiceStatus decodeStateServiceStatus(byte[] bytes)
      throws MalformedMessageException {
    try {
      PeerStanding s = PeerStanding.getDecoder().decode(bytes);
      return new Reply.PeerStateServiceStatus(s.getServed(), s.getLeader(), s.getTerm());
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not a peer's standing: " + e.getMessage());
    }
  }

  /** Encodes a question for the machines that report to a peer. */
  public static byte[] encodeMembershipRequest(String run, long after) {
    try {
      return bytes(HeardAsk.getEncoder().encode(new HeardAsk(run, after)));
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /** Decodes a question for the machines that report to this node. */
  public static Event.MembershipRequested decodeMembershipRequest(long exchange, byte[] bytes)
      throws MalformedMessageException {
    try {
      HeardAsk asked = HeardAsk.getDecoder().decode(bytes);
      return new Event.MembershipRequested(exchange, asked.getRun(), asked.getAfter());
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not a question for machines heard: " + e.getMessage());
    }
  }

  /** Encodes the machines that report to this node. */
  public static byte[] encodeHeartbeatDigest(HeartbeatDigest digest) {
    List<HeardChange> changes = new ArrayList<>(digest.changes().size());
    for (HeartbeatDigest.Change c : digest.changes()) {
      changes.add(new HeardChange(c.machine(), c.reachable(), c.durationMicros()));
    }
    try {
      return bytes(
          HeardTold.getEncoder()
              .encode(
                  new HeardTold(
                      digest.runId(),
                      digest.full(),
                      digest.lastSequence(),
                      digest.more(),
                      changes)));
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /** Decodes the machines that report to a peer. */
  public static Reply.PeerMembership decodeHeartbeatDigest(byte[] bytes)
      throws MalformedMessageException {
    try {
      HeardTold told = HeardTold.getDecoder().decode(bytes);
      List<HeartbeatDigest.Change> changes = new ArrayList<>(told.getChanges().size());
      for (HeardChange c : told.getChanges()) {
        changes.add(new HeartbeatDigest.Change(c.getMachine(), c.getHeard(), c.getForMicros()));
      }
      return new Reply.PeerMembership(
          new HeartbeatDigest(
              told.getRun(), told.getWhole(), told.getLast(), told.getMore(), changes));
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not machines heard: " + e.getMessage());
    }
  }

  /** Encodes changes of the leader's picture for its standby. */
  public static byte[] encodeReplicationBatch(ReplicationBatch batch) {
    List<StandbyChange> changes = new ArrayList<>(batch.changes().size());
    for (ReplicationBatch.Change c : batch.changes()) {
      changes.add(
          new StandbyChange(
              c.present(), c.machine(), c.incarnation(), c.job(), c.index(), c.attempt()));
    }
    try {
      return bytes(
          StandbyBatch.getEncoder()
              .encode(
                  new StandbyBatch(
                      batch.term(),
                      batch.snapshot(),
                      batch.firstSequence(),
                      batch.snapshotIncomplete(),
                      changes)));
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /** Decodes changes of the leader's picture. */
  public static ReplicationBatch decodeReplicationBatch(byte[] bytes)
      throws MalformedMessageException {
    try {
      StandbyBatch b = StandbyBatch.getDecoder().decode(bytes);
      List<ReplicationBatch.Change> changes = new ArrayList<>(b.getChanges().size());
      for (StandbyChange c : b.getChanges()) {
        changes.add(
            new ReplicationBatch.Change(
                c.getThere(),
                c.getMachine(),
                c.getSession(),
                c.getJob(),
                c.getIndex(),
                c.getAttempt()));
      }
      return new ReplicationBatch(b.getTerm(), b.getFilling(), b.getFirst(), b.getMore(), changes);
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not changes for a standby: " + e.getMessage());
    }
  }

  /** Encodes the standby's acknowledgement. */
  public static byte[] encodeReplicationAck(ReplicationBatch.Ack ack) {
    try {
      return bytes(
          StandbyAck.getEncoder()
              .encode(new StandbyAck(ack.runId(), ack.accepted(), ack.throughSequence())));
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /** Decodes the standby's acknowledgement. */
  public static Reply.ReplicationAck decodeReplicationAck(byte[] bytes)
      throws MalformedMessageException {
    try {
      StandbyAck a = StandbyAck.getDecoder().decode(bytes);
      return new Reply.ReplicationAck(
          new ReplicationBatch.Ack(a.getRun(), a.getAccepted(), a.getUpTo()));
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not a standby's answer: " + e.getMessage());
    }
  }

  /** Encodes cancellations that this node has committed. */
  public static byte[] encodeCancellations(List<Cancellation> cancellations) {
    List<CancelledJob> jobs = new ArrayList<>(cancellations.size());
    for (Cancellation c : cancellations) {
      jobs.add(new CancelledJob(c.job(), c.version(), c.done()));
    }
    try {
      return bytes(CancellationsTold.getEncoder().encode(new CancellationsTold(jobs)));
    } catch (IOException e) {
      throw new IllegalStateException("encoding to memory failed", e);
    }
  }

  /** Decodes cancellations that a peer has committed. */
  public static List<Cancellation> decodeCancellations(byte[] bytes)
      throws MalformedMessageException {
    try {
      List<Cancellation> cancellations = new ArrayList<>();
      for (CancelledJob c : CancellationsTold.getDecoder().decode(bytes).getJobs()) {
        cancellations.add(new Cancellation(c.getJob(), c.getVersion(), c.getDone()));
      }
      return cancellations;
    } catch (IOException | AvroRuntimeException | IndexOutOfBoundsException e) {
      throw new MalformedMessageException("not cancellations: " + e.getMessage());
    }
  }

  private static byte[] bytes(ByteBuffer buffer) {
    byte[] bytes = new byte[buffer.remaining()];
    buffer.get(bytes);
    return bytes;
  }
}
