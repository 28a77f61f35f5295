package org.eiderstair.core.state;

import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;

/**
 * Whether the state service serves this node. A single node cannot tell an outage from a refusal
 * that only it gets: its peers can. A node that alone is refused does not say that it is ready, and
 * gives way as leader; in an outage all stay as they are, since none could do better.
 */
public final class StateServiceHealth {

  /**
   * DOUBTED had no answer for a while and asks its peers; ALONE was told by one of them that it is
   * served.
   */
  enum State {
    SERVED,
    DOUBTED,
    ALONE
  }

  private static final long PROBE_AFTER_MICROS = 1_000_000;

  /** Younger than an answer that a peer in doubt can still remember from before an outage. */
  private static final long ATTEST_WITHIN_MICROS = 1_300_000;

  private static final long DOUBT_AFTER_MICROS = 2_500_000;
  private static final long ASK_EVERY_MICROS = 1_000_000;
  private static final long BELIEVE_MICROS = 3_500_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private State state = State.SERVED;
  private long now;
  private long servedMicros;
  private long attestedMicros;
  private long nextProbeMicros;
  private long nextAskMicros;
  private String leader;
  private long leaderTerm;

  public StateServiceHealth(Settings settings, EffectSink sink, Replica replica) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
  }

  /** Whether the state service refuses this node but serves a peer. */
  public boolean alone() {
    return state == State.ALONE;
  }

  /** The leader that a served peer follows, where this node's own picture is older; else null. */
  public String newerLeader(long thanTerm) {
    return state == State.ALONE && leaderTerm > thanTerm ? leader : null;
  }

  /** The term of the newer leader, or 0. */
  public long newerTerm() {
    return state == State.ALONE ? leaderTerm : 0;
  }

  /** What this node tells a peer that asks. */
  public Answer.StateServiceStatus standing() {
    Replica.Leader known = replica.leader();
    // Seen at the start of an outage: a peer that had not noticed yet made the others believe they
    // were alone.
    boolean served = now < servedMicros + ATTEST_WITHIN_MICROS && replica.loaded();
    return new Answer.StateServiceStatus(
        served, known == null ? null : known.node(), known == null ? 0 : known.term());
  }

  /** An answer came from the state service, or none did. */
  public void replied(Request request, Reply reply) {
    boolean ofState =
        request instanceof Request.StoreTxn
            || request instanceof Request.StoreGet
            || request instanceof Request.StoreList
            || request instanceof Request.StoreWatch
            || request instanceof Request.LeaseGrant
            || request instanceof Request.LeaseRenew;
    boolean refused =
        reply instanceof Reply.NoResponse || reply instanceof Reply.Refused r && r.status() == 503;
    if (ofState && !refused) {
      servedMicros = now;
      become(State.SERVED);
    }
  }

  /** Probes the state service, and asks peers when it is in doubt. */
  public void tick(long nowMicros) {
    if (now == 0) {
      servedMicros = nowMicros;
    }
    now = nowMicros;
    if (now < servedMicros + PROBE_AFTER_MICROS) {
      return;
    }
    if (now >= nextProbeMicros) {
      nextProbeMicros = now + PROBE_AFTER_MICROS;
      sink.call(new Request.StoreGet(StateKeys.LEADER), reply -> {});
    }
    if (now < servedMicros + DOUBT_AFTER_MICROS) {
      return;
    }
    if (state == State.SERVED || state == State.ALONE && now > attestedMicros + BELIEVE_MICROS) {
      become(State.DOUBTED);
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
          if (state != State.SERVED
              && reply instanceof Reply.PeerStateServiceStatus standing
              && standing.served()) {
            attestedMicros = now;
            if (standing.term() >= leaderTerm) {
              leaderTerm = standing.term();
              leader = standing.leader();
            }
            become(State.ALONE);
          }
        });
  }

  /** The one function for every change of state. */
  private void become(State next) {
    if (next != state) {
      sink.info("state service: " + state + " -> " + next);
      state = next;
    }
  }
}
