package org.eiderstair.peer;

import java.util.ArrayList;
import java.util.List;
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
 * Encodes and decodes the messages between controllers, in the single-object encoding of Avro.
 * Every message carries the fingerprint of its schema, so a node of another version either reads
 * the message or refuses it.
 */
public final class PeerMessages {
  /** The path to which a follower relays heartbeats. */
  public static final String RELAY_PATH = "/peer/relay";

  /** The path for requesting the machines whose heartbeats reach a peer directly. */
  public static final String MEMBERSHIP_PATH = "/peer/heard";

  /** The path to which the leader sends changes of its state. */
  public static final String REPLICATION_PATH = "/peer/standby";

  /** The path for sending cancellations. */
  public static final String CANCELLATIONS_PATH = "/peer/cancelled";

  /** The path for asking whether the state service serves a peer. */
  public static final String STATE_SERVICE_STATUS_PATH = "/peer/standing";

  /** The largest message that is accepted from a peer. */
  public static final int MAX_BYTES = 128 * 1024;

  private static final int OK = 200;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;

  private PeerMessages() {}

  /** Encodes a heartbeat for relaying to the leader. */
  public static byte[] encodeHeartbeat(Heartbeat heartbeat) {
    List<RelayedTask> tasks = new ArrayList<>(heartbeat.tasks().size());
    for (Heartbeat.Entry entry : heartbeat.tasks()) {
      tasks.add(relayedTask(entry));
    }
    return AvroCodec.encode(
        RelayedReport.getEncoder(),
        new RelayedReport(
            heartbeat.machine(),
            heartbeat.address(),
            heartbeat.type(),
            heartbeat.zone(),
            heartbeat.spot(),
            heartbeat.incarnation(),
            heartbeat.sequence(),
            heartbeat.fencingToken().value(),
            heartbeat.noticeMicros(),
            tasks));
  }

  private static RelayedTask relayedTask(Heartbeat.Entry entry) {
    return new RelayedTask(
        entry.task().job(),
        entry.task().index(),
        entry.attempt(),
        RelayedState.valueOf(entry.state().name()),
        RelayedExit.valueOf(entry.exit().name()),
        entry.saved());
  }

  /** Decodes a heartbeat that a peer has relayed. */
  public static Heartbeat decodeHeartbeat(byte[] bytes) throws MalformedMessageException {
    RelayedReport report = AvroCodec.decode(RelayedReport.getDecoder(), bytes, "a relayed report");
    List<Heartbeat.Entry> tasks = new ArrayList<>(report.getTasks().size());
    for (RelayedTask task : report.getTasks()) {
      tasks.add(entry(task));
    }
    return new Heartbeat(
        report.getMachine(),
        report.getAddress(),
        report.getType(),
        report.getZone(),
        report.getSpot(),
        report.getSession(),
        report.getSequence(),
        new FencingToken(report.getToken()),
        report.getNoticeMicros(),
        tasks);
  }

  private static Heartbeat.Entry entry(RelayedTask task) {
    return new Heartbeat.Entry(
        new TaskId(task.getJob(), task.getIndex()),
        task.getAttempt(),
        Heartbeat.TaskState.valueOf(task.getState().name()),
        Heartbeat.Exit.valueOf(task.getExit().name()),
        task.getSaved());
  }

  /**
   * Encodes the leader's answer to a relayed heartbeat: a command, a redirect or a failure. An
   * answer of any other type is encoded as status 503.
   */
  public static byte[] encodeHeartbeatAnswer(Answer answer) {
    return AvroCodec.encode(RelayedAnswer.getEncoder(), relayedAnswer(answer));
  }

  private static RelayedAnswer relayedAnswer(Answer answer) {
    if (answer instanceof Answer.Command command) {
      List<RelayedOrder> orders = new ArrayList<>(command.orders().size());
      for (Order order : command.orders()) {
        orders.add(relayedOrder(order));
      }
      return new RelayedAnswer(OK, command.fencingToken().value(), orders, null, "");
    }
    if (answer instanceof Answer.Redirect redirect) {
      return new RelayedAnswer(MISDIRECTED, 0L, List.of(), redirect.node(), "");
    }
    if (answer instanceof Answer.Failure failure) {
      return new RelayedAnswer(failure.status(), 0L, List.of(), null, failure.reason());
    }
    return new RelayedAnswer(UNAVAILABLE, 0L, List.of(), null, "");
  }

  private static RelayedOrder relayedOrder(Order order) {
    long graceMicros = order instanceof Order.Kill kill ? kill.graceMicros() : 0;
    return new RelayedOrder(
        verb(order), order.task().job(), order.task().index(), order.attempt(), graceMicros);
  }

  private static RelayedVerb verb(Order order) {
    if (order instanceof Order.Launch) {
      return RelayedVerb.LAUNCH;
    }
    return order instanceof Order.Kill ? RelayedVerb.KILL : RelayedVerb.REAP;
  }

  /** Decodes the leader's answer to a relayed heartbeat: a command, a redirect or a failure. */
  public static Answer decodeHeartbeatAnswer(byte[] bytes) throws MalformedMessageException {
    RelayedAnswer answer = AvroCodec.decode(RelayedAnswer.getDecoder(), bytes, "a relayed answer");
    return switch (answer.getStatus()) {
      case OK -> command(answer);
      case MISDIRECTED -> new Answer.Redirect(answer.getNode());
      default -> new Answer.Failure(answer.getStatus(), answer.getReason(), 0);
    };
  }

  private static Answer.Command command(RelayedAnswer answer) {
    List<Order> orders = new ArrayList<>(answer.getOrders().size());
    for (RelayedOrder order : answer.getOrders()) {
      orders.add(order(order));
    }
    return new Answer.Command(new FencingToken(answer.getToken()), orders);
  }

  private static Order order(RelayedOrder order) {
    TaskId task = new TaskId(order.getJob(), order.getIndex());
    return switch (order.getVerb()) {
      case LAUNCH -> new Order.Launch(task, order.getAttempt());
      case KILL -> new Order.Kill(task, order.getAttempt(), order.getGraceMicros());
      case REAP -> new Order.Acknowledge(task, order.getAttempt());
    };
  }

  /** Encodes whether the state service serves this node, and which leader this node follows. */
  public static byte[] encodeStateServiceStatus(Answer.StateServiceStatus status) {
    return AvroCodec.encode(
        PeerStanding.getEncoder(),
        new PeerStanding(status.served(), status.leader(), status.term()));
  }

  /** Decodes whether the state service serves a peer, and which leader the peer follows. */
  public static Reply.PeerStateServiceStatus decodeStateServiceStatus(byte[] bytes)
      throws MalformedMessageException {
    PeerStanding status =
        AvroCodec.decode(PeerStanding.getDecoder(), bytes, "a state service status");
    return new Reply.PeerStateServiceStatus(
        status.getServed(), status.getLeader(), status.getTerm());
  }

  /**
   * Encodes a request for the heartbeat digest of a peer.
   *
   * @param runId the run of the peer to which the sequence number belongs
   * @param afterSequence the sequence number after which the changes are requested
   */
  public static byte[] encodeMembershipRequest(String runId, long afterSequence) {
    return AvroCodec.encode(HeardAsk.getEncoder(), new HeardAsk(runId, afterSequence));
  }

  /** Decodes a request for the heartbeat digest of this node. */
  public static Event.MembershipRequested decodeMembershipRequest(long exchange, byte[] bytes)
      throws MalformedMessageException {
    HeardAsk request =
        AvroCodec.decode(HeardAsk.getDecoder(), bytes, "a request for a heartbeat digest");
    return new Event.MembershipRequested(exchange, request.getRun(), request.getAfter());
  }

  /** Encodes the heartbeat digest of this node. */
  public static byte[] encodeHeartbeatDigest(HeartbeatDigest digest) {
    List<HeardChange> changes = new ArrayList<>(digest.changes().size());
    for (HeartbeatDigest.Change change : digest.changes()) {
      changes.add(new HeardChange(change.machine(), change.reachable(), change.durationMicros()));
    }
    return AvroCodec.encode(
        HeardTold.getEncoder(),
        new HeardTold(
            digest.runId(), digest.full(), digest.lastSequence(), digest.more(), changes));
  }

  /** Decodes the heartbeat digest of a peer. */
  public static Reply.PeerMembership decodeHeartbeatDigest(byte[] bytes)
      throws MalformedMessageException {
    HeardTold digest = AvroCodec.decode(HeardTold.getDecoder(), bytes, "a heartbeat digest");
    List<HeartbeatDigest.Change> changes = new ArrayList<>(digest.getChanges().size());
    for (HeardChange change : digest.getChanges()) {
      changes.add(
          new HeartbeatDigest.Change(
              change.getMachine(), change.getHeard(), change.getForMicros()));
    }
    return new Reply.PeerMembership(
        new HeartbeatDigest(
            digest.getRun(), digest.getWhole(), digest.getLast(), digest.getMore(), changes));
  }

  /** Encodes changes of the leader's state for a standby. */
  public static byte[] encodeReplicationBatch(ReplicationBatch batch) {
    List<StandbyChange> changes = new ArrayList<>(batch.changes().size());
    for (ReplicationBatch.Change change : batch.changes()) {
      changes.add(
          new StandbyChange(
              change.present(),
              change.machine(),
              change.incarnation(),
              change.job(),
              change.index(),
              change.attempt()));
    }
    return AvroCodec.encode(
        StandbyBatch.getEncoder(),
        new StandbyBatch(
            batch.term(),
            batch.snapshot(),
            batch.firstSequence(),
            batch.snapshotIncomplete(),
            changes));
  }

  /** Decodes changes of the leader's state that a standby has received. */
  public static ReplicationBatch decodeReplicationBatch(byte[] bytes)
      throws MalformedMessageException {
    StandbyBatch batch = AvroCodec.decode(StandbyBatch.getDecoder(), bytes, "a replication batch");
    List<ReplicationBatch.Change> changes = new ArrayList<>(batch.getChanges().size());
    for (StandbyChange change : batch.getChanges()) {
      changes.add(
          new ReplicationBatch.Change(
              change.getThere(),
              change.getMachine(),
              change.getSession(),
              change.getJob(),
              change.getIndex(),
              change.getAttempt()));
    }
    return new ReplicationBatch(
        batch.getTerm(), batch.getFilling(), batch.getFirst(), batch.getMore(), changes);
  }

  /** Encodes a standby's acknowledgement of a replication batch. */
  public static byte[] encodeReplicationAck(ReplicationBatch.Ack ack) {
    return AvroCodec.encode(
        StandbyAck.getEncoder(),
        new StandbyAck(ack.runId(), ack.accepted(), ack.throughSequence()));
  }

  /** Decodes a standby's acknowledgement of a replication batch. */
  public static Reply.ReplicationAck decodeReplicationAck(byte[] bytes)
      throws MalformedMessageException {
    StandbyAck ack =
        AvroCodec.decode(StandbyAck.getDecoder(), bytes, "a replication acknowledgement");
    return new Reply.ReplicationAck(
        new ReplicationBatch.Ack(ack.getRun(), ack.getAccepted(), ack.getUpTo()));
  }

  /** Encodes cancellations that this node has committed. */
  public static byte[] encodeCancellations(List<Cancellation> cancellations) {
    List<CancelledJob> jobs = new ArrayList<>(cancellations.size());
    for (Cancellation cancellation : cancellations) {
      jobs.add(new CancelledJob(cancellation.job(), cancellation.version(), cancellation.done()));
    }
    return AvroCodec.encode(CancellationsTold.getEncoder(), new CancellationsTold(jobs));
  }

  /** Decodes cancellations that a peer has committed. */
  public static List<Cancellation> decodeCancellations(byte[] bytes)
      throws MalformedMessageException {
    CancellationsTold message =
        AvroCodec.decode(CancellationsTold.getDecoder(), bytes, "cancellations");
    List<Cancellation> cancellations = new ArrayList<>(message.getJobs().size());
    for (CancelledJob job : message.getJobs()) {
      cancellations.add(new Cancellation(job.getJob(), job.getVersion(), job.getDone()));
    }
    return cancellations;
  }
}
