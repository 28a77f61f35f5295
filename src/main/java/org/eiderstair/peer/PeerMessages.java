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
 * What controllers send each other, in Avro's single-object encoding: every message names its
 * schema, so nodes of two versions understand each other or know that they do not.
 */
public final class PeerMessages {
  /** Where a follower relays a heartbeat to. */
  public static final String RELAY_PATH = "/peer/relay";

  /** Where a peer is asked which machines it reaches. */
  public static final String MEMBERSHIP_PATH = "/peer/heard";

  /** Where the leader sends its state's changes to. */
  public static final String REPLICATION_PATH = "/peer/standby";

  /** Where cancellations are sent to. */
  public static final String CANCELLATIONS_PATH = "/peer/cancelled";

  /** Where a peer is asked whether the state service serves it. */
  public static final String STATE_SERVICE_STATUS_PATH = "/peer/standing";

  /** A larger message of a peer is refused. */
  public static final int MAX_BYTES = 128 * 1024;

  private static final int OK = 200;
  private static final int MISDIRECTED = 421;
  private static final int UNAVAILABLE = 503;

  private PeerMessages() {}

  /** Encodes a worker's heartbeat that is relayed to the leader. */
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

  /** Decodes a worker's heartbeat that a peer has relayed. */
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

  /** Encodes the leader's answer to a relayed heartbeat; any other answer is "unavailable". */
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

  /** Decodes the leader's answer to a relayed heartbeat. */
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

  /** Encodes whether the state service serves this node, and whom it follows. */
  public static byte[] encodeStateServiceStatus(Answer.StateServiceStatus status) {
    return AvroCodec.encode(
        PeerStanding.getEncoder(),
        new PeerStanding(status.served(), status.leader(), status.term()));
  }

  /** Decodes whether the state service serves a peer, and whom that follows. */
  public static Reply.PeerStateServiceStatus decodeStateServiceStatus(byte[] bytes)
      throws MalformedMessageException {
    PeerStanding status = AvroCodec.decode(PeerStanding.getDecoder(), bytes, "a peer's standing");
    return new Reply.PeerStateServiceStatus(
        status.getServed(), status.getLeader(), status.getTerm());
  }

  /** Encodes a request for the changes of a peer's digest after a sequence number. */
  public static byte[] encodeMembershipRequest(String runId, long afterSequence) {
    return AvroCodec.encode(HeardAsk.getEncoder(), new HeardAsk(runId, afterSequence));
  }

  /** Decodes a request for the machines that report to this node. */
  public static Event.MembershipRequested decodeMembershipRequest(long exchange, byte[] bytes)
      throws MalformedMessageException {
    HeardAsk request =
        AvroCodec.decode(HeardAsk.getDecoder(), bytes, "a question for machines heard");
    return new Event.MembershipRequested(exchange, request.getRun(), request.getAfter());
  }

  /** Encodes the machines that report to this node. */
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

  /** Decodes the machines that report to a peer. */
  public static Reply.PeerMembership decodeHeartbeatDigest(byte[] bytes)
      throws MalformedMessageException {
    HeardTold digest = AvroCodec.decode(HeardTold.getDecoder(), bytes, "machines heard");
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

  /** Encodes changes of the leader's state for its standby. */
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

  /** Decodes changes of the leader's state. */
  public static ReplicationBatch decodeReplicationBatch(byte[] bytes)
      throws MalformedMessageException {
    StandbyBatch batch =
        AvroCodec.decode(StandbyBatch.getDecoder(), bytes, "changes for a standby");
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

  /** Encodes the standby's acknowledgement. */
  public static byte[] encodeReplicationAck(ReplicationBatch.Ack ack) {
    return AvroCodec.encode(
        StandbyAck.getEncoder(),
        new StandbyAck(ack.runId(), ack.accepted(), ack.throughSequence()));
  }

  /** Decodes the standby's acknowledgement. */
  public static Reply.ReplicationAck decodeReplicationAck(byte[] bytes)
      throws MalformedMessageException {
    StandbyAck ack = AvroCodec.decode(StandbyAck.getDecoder(), bytes, "a standby's answer");
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
