package org.eiderstair.core.state;

import java.util.Optional;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;

/**
 * Tracks whether the state service serves this node. A single node cannot distinguish an outage
 * from a refusal that affects only itself, so it asks its peers. A node that is refused while a
 * peer is served is not ready, and resigns as leader. In an outage every node keeps its role,
 * because no other node could do better.
 */
public final class StateServiceHealth {
  private enum State {
    /** The state service answers this node, or has not been silent for long. */
    REACHABLE,

    /** The state service has not served this node for a while, and this node asks its peers. */
    SUSPECT,

    /** A peer has answered that the state service serves it. */
    ISOLATED
  }

  /** The leader that a peer follows; the node is null when the peer knows no leader. */
  public record PeerLeader(String node, long term) {}

  private static final PeerLeader NO_LEADER = new PeerLeader(null, 0);
  private static final long PROBE_INTERVAL_MICROS = 1_000_000;

  /**
   * This node reports itself as served only if its last answer is at most this old. An older answer
   * may predate the outage in which a peer asks.
   */
  private static final long SERVED_WITHIN_MICROS = 1_300_000;

  private static final long SUSPECT_AFTER_MICROS = 2_500_000;
  private static final long PEER_QUERY_INTERVAL_MICROS = 1_000_000;

  /** How long an answer from a served peer keeps this node isolated. */
  private static final long PEER_STATUS_TTL_MICROS = 3_500_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private State state = State.REACHABLE;
  private boolean started;
  private long now;
  private long lastServedMicros;
  private long lastPeerServedMicros;
  private long nextProbeMicros;
  private long nextPeerQueryMicros;

  /** The leader with the highest term that a served peer has named. */
  private PeerLeader peerLeader = NO_LEADER;

  public StateServiceHealth(Settings settings, EffectSink sink, Replica replica) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
  }

  /** Returns whether the state service does not serve this node but serves a peer. */
  public boolean isIsolated() {
    return state == State.ISOLATED;
  }

  /**
   * Returns the leader that a served peer follows, if this node is isolated and the leader's term
   * is higher than {@code knownTerm}; empty otherwise.
   */
  public Optional<PeerLeader> newerLeader(long knownTerm) {
    return isIsolated() && peerLeader.node() != null && peerLeader.term() > knownTerm
        ? Optional.of(peerLeader)
        : Optional.empty();
  }

  /** Returns the answer to a peer that asks for this node's state service status. */
  public Answer.StateServiceStatus status() {
    Replica.Leader leader = replica.leader();
    // At the start of an outage, a peer that has not detected the outage would make the other nodes
    // conclude that they are isolated.
    boolean served = now < lastServedMicros + SERVED_WITHIN_MICROS && replica.isLoaded();
    return leader == null
        ? new Answer.StateServiceStatus(served, null, 0)
        : new Answer.StateServiceStatus(served, leader.node(), leader.term());
  }

  /** Records the reply to a request of this node; ignores requests to other services. */
  public void replyReceived(Request request, Reply reply) {
    if (isForStateService(request) && isServed(reply)) {
      lastServedMicros = now;
      transitionTo(State.REACHABLE);
    }
  }

  private static boolean isForStateService(Request request) {
    return request instanceof Request.StoreTransaction
        || request instanceof Request.StoreGet
        || request instanceof Request.StoreList
        || request instanceof Request.StoreWatch
        || request instanceof Request.LeaseGrant
        || request instanceof Request.LeaseRenew;
  }

  private static boolean isServed(Reply reply) {
    boolean unavailable = reply instanceof Reply.Refused refused && refused.isUnavailable();
    return !unavailable && !(reply instanceof Reply.NoResponse);
  }

  /**
   * Probes the state service after a second without an answer, and asks the peers if none comes.
   */
  public void tick(long nowMicros) {
    if (!started) {
      started = true;
      lastServedMicros = nowMicros;
    }
    now = nowMicros;
    if (now < lastServedMicros + PROBE_INTERVAL_MICROS) {
      return;
    }
    if (now >= nextProbeMicros) {
      nextProbeMicros = now + PROBE_INTERVAL_MICROS;
      sink.call(new Request.StoreGet(StateKeys.LEADER), reply -> {});
    }
    if (now < lastServedMicros + SUSPECT_AFTER_MICROS) {
      return;
    }
    if (state == State.REACHABLE
        || (isIsolated() && now > lastPeerServedMicros + PEER_STATUS_TTL_MICROS)) {
      transitionTo(State.SUSPECT);
    }
    if (now >= nextPeerQueryMicros) {
      nextPeerQueryMicros = now + PEER_QUERY_INTERVAL_MICROS;
      settings.peers().forEach(this::queryPeer);
    }
  }

  private void queryPeer(String peer) {
    sink.call(
        new Request.PeerStateServiceStatus(peer),
        reply -> {
          if (reply instanceof Reply.PeerStateServiceStatus status && status.served()) {
            recordServedPeer(status);
          }
        });
  }

  private void recordServedPeer(Reply.PeerStateServiceStatus status) {
    if (state == State.REACHABLE) {
      return;
    }
    lastPeerServedMicros = now;
    if (status.term() >= peerLeader.term()) {
      peerLeader = new PeerLeader(status.leader(), status.term());
    }
    transitionTo(State.ISOLATED);
  }

  /** Sets the state; all state changes go through this method. */
  private void transitionTo(State next) {
    if (next != state) {
      sink.info("state service health " + state + " -> " + next);
      state = next;
    }
  }
}
