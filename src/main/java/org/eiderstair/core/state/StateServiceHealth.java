package org.eiderstair.core.state;

import java.util.Optional;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;

/**
 * Whether the state service serves this node. A single node cannot tell an outage from a refusal
 * that only it gets: its peers can. A node that alone is refused is not ready, and resigns as
 * leader; in an outage all stay as they are, since none could do better.
 */
public final class StateServiceHealth {

  /**
   * SUSPECT had no answer for a while and asks its peers; ISOLATED knows from one of them that the
   * state service serves it.
   */
  private enum State {
    REACHABLE,
    SUSPECT,
    ISOLATED
  }

  /** The leader that a peer follows. */
  public record PeerLeader(String node, long term) {}

  private static final PeerLeader NO_LEADER = new PeerLeader(null, 0);
  private static final long PROBE_AFTER_MICROS = 1_000_000;

  /** An older answer may be from before the outage in which a peer asks. */
  private static final long SERVED_WITHIN_MICROS = 1_300_000;

  private static final long SUSPECT_AFTER_MICROS = 2_500_000;
  private static final long ASK_EVERY_MICROS = 1_000_000;

  /** How long a peer's word counts. */
  private static final long ISOLATED_MICROS = 3_500_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private State state = State.REACHABLE;
  private boolean started;
  private long now;
  private long lastServedMicros;
  private long lastPeerServedMicros;
  private long nextProbeMicros;
  private long nextAskMicros;

  /** Of the highest term that a peer has named. */
  private PeerLeader peerLeader = NO_LEADER;

  public StateServiceHealth(Settings settings, EffectSink sink, Replica replica) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
  }

  /** Whether the state service refuses this node but serves a peer. */
  public boolean isIsolated() {
    return state == State.ISOLATED;
  }

  /** The leader that a served peer follows, while this node is isolated and knows an older one. */
  public Optional<PeerLeader> newerLeader(long knownTerm) {
    return isIsolated() && peerLeader.node() != null && peerLeader.term() > knownTerm
        ? Optional.of(peerLeader)
        : Optional.empty();
  }

  /** What this node answers a peer that asks. */
  public Answer.StateServiceStatus status() {
    Replica.Leader leader = replica.leader();
    // Seen at the start of an outage: a peer that had not noticed yet made the others believe they
    // were isolated.
    boolean served = now < lastServedMicros + SERVED_WITHIN_MICROS && replica.isLoaded();
    return leader == null
        ? new Answer.StateServiceStatus(served, null, 0)
        : new Answer.StateServiceStatus(served, leader.node(), leader.term());
  }

  /** A request of this node was answered, or was not. */
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

  /** Probes the state service, and asks peers when it does not answer. */
  public void tick(long nowMicros) {
    if (!started) {
      started = true;
      lastServedMicros = nowMicros;
    }
    now = nowMicros;
    if (now < lastServedMicros + PROBE_AFTER_MICROS) {
      return;
    }
    if (now >= nextProbeMicros) {
      nextProbeMicros = now + PROBE_AFTER_MICROS;
      sink.call(new Request.StoreGet(StateKeys.LEADER), reply -> {});
    }
    if (now < lastServedMicros + SUSPECT_AFTER_MICROS) {
      return;
    }
    if (state == State.REACHABLE
        || (isIsolated() && now > lastPeerServedMicros + ISOLATED_MICROS)) {
      transitionTo(State.SUSPECT);
    }
    if (now >= nextAskMicros) {
      nextAskMicros = now + ASK_EVERY_MICROS;
      settings.peers().forEach(this::ask);
    }
  }

  private void ask(String peer) {
    sink.call(
        new Request.PeerStateServiceStatus(peer),
        reply -> {
          if (reply instanceof Reply.PeerStateServiceStatus status && status.served()) {
            peerServed(status);
          }
        });
  }

  private void peerServed(Reply.PeerStateServiceStatus status) {
    if (state == State.REACHABLE) {
      return;
    }
    lastPeerServedMicros = now;
    if (status.term() >= peerLeader.term()) {
      peerLeader = new PeerLeader(status.leader(), status.term());
    }
    transitionTo(State.ISOLATED);
  }

  /** The one function for every change of state. */
  private void transitionTo(State next) {
    if (next != state) {
      sink.info("state service " + state + " -> " + next);
      state = next;
    }
  }
}
