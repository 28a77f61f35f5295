package org.eiderstair.core.leadership;

import java.util.List;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StoredRecords;

/**
 * Who may command. The leader key hangs on a lease; the revision that created it is the term. Until
 * when what may be done is for {@link LeadershipBounds} to say.
 */
public final class Leadership {

  /**
   * LEADING may launch. FADING cannot renew its lease, or its picture is too old to launch by: it
   * goes on answering workers, so that running work survives a short outage. CATCHING_UP holds its
   * lease, just elected or renewed after such a spell, but the picture has not been shown to be
   * current since then: a lease proves nothing of the picture, so nothing is launched yet.
   */
  enum State {
    FOLLOWING,
    GRANTING,
    CREATING,
    LEADING,
    FADING,
    CATCHING_UP
  }

  /** What the node does when its part in leadership changes. */
  public interface Listener {
    /** This node asks to lead; nothing that it was told as a follower may change any more. */
    void campaignStarted();

    /**
     * Whether another controller than this one holds the last leader's picture, and so should ask
     * first.
     */
    boolean anotherNodeInSync();

    /** This node leads, in this term. */
    void leadershipGained(long term);

    /** This node does not lead any more. */
    void leadershipLost(String why);
  }

  private static final long RETRY_MICROS = 400_000;
  private static final long GIVEN_UP_PAUSE_MICROS = 15_000_000;

  /** About as long as a controller that was just started interprets most of its code. */
  private static final long COLD_MICROS = 20_000_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final Listener listener;
  private final String runId;

  private State state = State.FOLLOWING;
  private long now;
  private long lease;
  private long term;
  private final LeadershipBounds bounds;

  /**
   * Since when the lease is held again, 0 while it is not: the picture must be shown to be current
   * as of then.
   */
  private long heldSinceMicros;

  private long nextTouchMicros;
  private boolean touching;
  private long standAfterMicros;
  private long droppedOwnLease;
  private final IntUnaryOperator random;
  private long loadedMicros = Long.MAX_VALUE;

  public Leadership(
      Settings settings,
      EffectSink sink,
      Replica replica,
      String runId,
      IntUnaryOperator random,
      Listener listener) {
    this.random = random;
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.runId = runId;
    this.listener = listener;
    this.bounds = new LeadershipBounds(settings, replica);
  }

  /** Whether this node neither leads nor asks to. */
  public boolean isFollower() {
    return state == State.FOLLOWING;
  }

  /** Whether launches may be sent at this moment. */
  public boolean mayLaunch(long nowMicros) {
    return state == State.LEADING && nowMicros < bounds.launchEndMicros();
  }

  /**
   * Whether what ends work may be sent to machines: a kill or a question harms nobody, whoever
   * leads by now.
   */
  public boolean mayKill(long nowMicros) {
    return isLeader() && nowMicros < bounds.answerEndMicros();
  }

  /** Whether workers' reports may be answered. */
  public boolean isLeader() {
    return state == State.LEADING || state == State.FADING || state == State.CATCHING_UP;
  }

  /** The term of the leader key that this node holds, or held last. */
  public long term() {
    return term;
  }

  /** Until when it may do what. */
  public LeadershipBounds bounds() {
    return bounds;
  }

  /** The time at which what is told next happened. */
  public void setTime(long nowMicros) {
    now = nowMicros;
  }

  /** Does what time has made due. */
  public void tick(long nowMicros) {
    now = nowMicros;
    if (replica.loaded() && loadedMicros == Long.MAX_VALUE) {
      loadedMicros = now;
    }
    switch (state) {
      case FOLLOWING -> considerStanding();
      case GRANTING, CREATING -> {}
      case LEADING -> {
        if (now >= bounds.launchEndMicros()) {
          become(
              State.FADING,
              now >= bounds.leaseEndMicros()
                  ? "lease not renewed"
                  : "picture not shown to be current");
        }
        touchIfDue();
      }
      case FADING, CATCHING_UP -> {
        // One that was elected after a long outage has the picture of before; it is about to be
        // told.
        boolean begins =
            state == State.CATCHING_UP
                && now < heldSinceMicros + settings.tuning().leaderTtlMicros();
        if (now >= bounds.answerEndMicros() && !begins) {
          // Its lease may go on for ever while its watch hangs: then another has to lead.
          deposed(
              "picture not shown to be current for "
                  + (now - bounds.replicaCurrentMicros()) / 1000
                  + " ms: workers lose their leases, for what may have been cancelled meanwhile");
          return;
        }
        catchUp();
        touchIfDue();
      }
    }
  }

  /** Out of FADING only by both proofs, the one of the picture sent no earlier than the renewal. */
  private void catchUp() {
    if (state == State.FADING && heldSinceMicros > 0 && now < bounds.leaseEndMicros()) {
      become(State.CATCHING_UP, "renewed again");
    }
    if (state == State.CATCHING_UP && now >= bounds.leaseEndMicros()) {
      become(State.FADING, "lease not renewed");
    }
    if (state == State.CATCHING_UP
        && bounds.replicaCurrentMicros() >= heldSinceMicros
        && now < bounds.launchEndMicros()) {
      become(State.LEADING, "picture current");
    }
  }

  /** The one function for every change of state. */
  private void become(State next, String why) {
    if (next == state) {
      return;
    }
    boolean was = isLeader();
    sink.info("leadership " + state + " -> " + next + " term=" + term + ": " + why);
    state = next;
    if (next == State.FADING) {
      heldSinceMicros = 0;
      nextTouchMicros = Math.min(nextTouchMicros, now);
    }
    if (!was && isLeader()) {
      listener.leadershipGained(term);
    } else if (was && !isLeader()) {
      standAfterMicros = now + RETRY_MICROS;
      listener.leadershipLost(why);
    }
  }

  private void considerStanding() {
    if (!replica.loaded() || now < standAfterMicros) {
      return;
    }
    Replica.Leader leader = replica.leader();
    if (leader != null) {
      // An earlier run of this very node is certainly dead, so its lease need not run out.
      if (leader.node().equals(settings.node()) && leader.lease() != droppedOwnLease) {
        droppedOwnLease = leader.lease();
        sink.info("giving up the lease of an earlier run, term=" + leader.term());
        sink.call(
            new Request.LeaseRevoke(leader.lease()),
            reply -> {
              if (!(reply instanceof Reply.Applied)) {
                droppedOwnLease = 0;
                standAfterMicros = now + RETRY_MICROS;
              }
            });
      }
      return;
    }
    become(State.GRANTING, "no leader");
    listener.campaignStarted();
    long sentMicros = now;
    sink.call(
        new Request.LeaseGrant(settings.tuning().leaderTtlMicros()),
        reply -> {
          if (reply instanceof Reply.LeaseGranted granted && replica.leader() == null) {
            lease = granted.lease();
            bounds.renewed(sentMicros);
            become(State.CREATING, "lease " + lease);
            create();
          } else {
            standAfterMicros = now + RETRY_MICROS;
            become(State.FOLLOWING, "no lease: " + reply);
          }
        });
  }

  private void create() {
    var value = StoredRecords.leader(settings.node(), lease, runId);
    long sentMicros = now;
    sink.call(
        new Request.StoreTxn(
            List.of(new Request.Condition(StoredRecords.LEADER, 0)),
            List.of(new Request.Write(StoredRecords.LEADER, value, lease))),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            term = applied.revision();
            replica.proves(sentMicros, term);
            nextTouchMicros = bounds.renewedMicros() + settings.tuning().leaderRenewMicros();
            replica.apply(new Reply.Item(StoredRecords.LEADER, value, term));
            if (replica.leader() != null && replica.leader().term() == term) {
              heldSinceMicros = sentMicros;
              become(State.CATCHING_UP, "elected");
              return;
            }
          }
          // With no answer the key may yet appear: ending the lease removes it and makes a late
          // write fail.
          sink.call(new Request.LeaseRevoke(lease), ignored -> {});
          standAfterMicros = now + RETRY_MICROS;
          become(State.FOLLOWING, "not elected: " + reply);
        });
  }

  private void touchIfDue() {
    if (touching || now < nextTouchMicros) {
      return;
    }
    touching = true;
    long sentMicros = now;
    long touchedTerm = term;
    sink.call(
        new Request.LeaseRenew(lease),
        reply -> {
          touching = false;
          if (!isLeader() || touchedTerm != term) {
            return;
          }
          if (reply instanceof Reply.Applied) {
            bounds.renewed(sentMicros);
            nextTouchMicros = sentMicros + settings.tuning().leaderRenewMicros();
            if (state == State.FADING && heldSinceMicros == 0) {
              heldSinceMicros = sentMicros;
            }
            showCurrent();
          } else if (reply instanceof Reply.Refused refused && refused.status() == 404) {
            become(State.FOLLOWING, "lease lost");
          } else {
            nextTouchMicros = now + RETRY_MICROS;
          }
        });
  }

  /**
   * Asks which revision the state service is at, unless the picture was shown to be current just
   * now: on a quiet day no watch is answered for seconds. It compares the leader key, so it tells
   * too when that is lost.
   */
  private void showCurrent() {
    if (state == State.LEADING
        && now < bounds.replicaCurrentMicros() + settings.tuning().leaderRenewMicros()) {
      return;
    }
    long sentMicros = now;
    sink.call(
        new Request.StoreTxn(List.of(new Request.Condition(StoredRecords.LEADER, term)), List.of()),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            replica.proves(sentMicros, applied.revision());
          }
        });
  }

  /** The leader key was seen to belong to another, or a worker showed a newer token. */
  public void deposed(String why) {
    if (isLeader()) {
      sink.call(new Request.LeaseRevoke(lease), ignored -> {});
      become(State.FOLLOWING, why);
    }
  }

  /**
   * This node can renew its lease but is of no use, since it cannot reach the machines: another
   * may. It stands again only after a pause, so that the others get their turn.
   */
  public void resign(String why) {
    deposed(why);
    standAfterMicros = now + GIVEN_UP_PAUSE_MICROS;
  }

  /** The replica's leader key changed. */
  public void leaderChanged() {
    Replica.Leader leader = replica.leader();
    if (isLeader() && (leader == null || leader.term() != term)) {
      become(
          State.FOLLOWING,
          leader == null ? "leader key dropped" : "another leads, term=" + leader.term());
    } else if (leader == null
        && state == State.FOLLOWING
        && loadedMicros != Long.MAX_VALUE
        && (now < loadedMicros + COLD_MICROS || listener.anotherNodeInSync())) {
      // A cold leader needs many times the processor time for the same reports. This changes who
      // asks first, never who may lead; and a key that is not there at the start was left by all
      // the warm ones, so then nothing waits. One that holds the last leader's picture goes before
      // both. Twice the time for which a warm one may gather changes before it learns of this one.
      boolean cold = now < loadedMicros + COLD_MICROS;
      int pause = (int) ((cold && listener.anotherNodeInSync() ? 4 : 2) * settings.gatherMicros());
      standAfterMicros = Math.max(standAfterMicros, now + pause + random.applyAsInt(pause));
    }
  }
}
