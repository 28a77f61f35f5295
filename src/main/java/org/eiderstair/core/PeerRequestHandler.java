package org.eiderstair.core;

import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateServiceHealth;

/** Handles the requests of other controllers. */
final class PeerRequestHandler {
  private final EffectSink sink;
  private final Replica replica;
  private final Leadership leadership;
  private final StateServiceHealth stateServiceHealth;
  private final Membership membership;
  private final Standby standby;

  PeerRequestHandler(
      EffectSink sink,
      Replica replica,
      Leadership leadership,
      StateServiceHealth stateServiceHealth,
      Membership membership,
      Standby standby) {
    this.sink = sink;
    this.replica = replica;
    this.leadership = leadership;
    this.stateServiceHealth = stateServiceHealth;
    this.membership = membership;
    this.standby = standby;
  }

  /** Answers whether the state service serves this node, and which leader this node follows. */
  void stateServiceStatus(Event.StateServiceStatusRequested event) {
    sink.respond(event.exchange(), stateServiceHealth.status());
  }

  /** Answers which machines reach this node directly, as changes since an earlier answer. */
  void membership(Event.MembershipRequested event, long nowMicros) {
    sink.respond(
        event.exchange(),
        new Answer.ReachableWorkers(
            membership.digestAfter(event.runId(), event.afterSequence(), nowMicros)));
  }

  /** Passes a replication batch to the standby and answers with its acknowledgement. */
  void replication(Event.ReplicationReceived event, long nowMicros) {
    ReplicationBatch.Ack ack =
        standby.receive(event.batch(), mayFollow(event.batch().term()), nowMicros);
    sink.respond(event.exchange(), new Answer.ReplicationAck(ack));
  }

  /**
   * Returns whether this node may follow the leader of the given term. It does not follow a leader
   * that it knows to have been replaced.
   */
  private boolean mayFollow(long term) {
    Replica.Leader leader = replica.leader();
    return leadership.isFollower() && (leader == null || term >= leader.term());
  }

  /** Applies cancellations that a peer has committed to the replica. */
  void cancellations(Event.CancellationsReceived event) {
    event.cancellations().forEach(replica::applyCancellation);
    sink.respond(event.exchange(), new Answer.Acknowledged());
  }
}
