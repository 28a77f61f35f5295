package org.eiderstair.core.leadership;

import java.util.List;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * Whether this node leads: the state machine of one node's part in leader election. The leader key
 * hangs on a lease; the revision that created it is the term. {@link LeaderElection} and {@link
 * LeaseRenewal} make the requests, {@link ElectionBackoff} says when to campaign, and {@link
 * LeadershipBounds} until when a leader may do what.
 */
public final class Leadership {

  /** This node's part. The last three states hold the leader key, see {@link #isLeader}. */
  enum State {
    /** Another node leads, or none does. */
    FOLLOWING,
    /** Asks for the lease of the leader key. */
    ACQUIRING_LEASE,
    /** Tries to create the leader key on its lease. */
    CANDIDATE,
    /** May launch: the lease is held and the replica is current. */
    LEADING,
    /**
     * The lease was not renewed in time, or the replica is too old to launch by. It goes on
     * answering workers, so that running work survives a short outage.
     */
    SUSPENDED,
    /**
     * Holds its lease, just elected or renewed after a suspension, but the replica has not been
     * shown to be current since then. A lease proves nothing about the replica, so nothing is
     * launched yet.
     */
    SYNCHRONIZING
  }

  /** What the node does when its part in leadership changes. */
  public interface Listener {
    /** This node campaigns; nothing that it has replicated as a follower may change any more. */
    void campaignStarted();

    /** Whether another node is the standby in sync, and so should campaign first. */
    boolean anotherNodeInSync();

    /** This node leads, in this term. */
    void leadershipGained(long term);

    /** This node does not lead any more. */
    void leadershipLost(String why);
  }

  private static final long NOT_HELD = -1;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final Listener listener;
  private final LeadershipBounds bounds;
  private final ElectionBackoff backoff;
  private final LeaderElection election;
  private final LeaseRenewal renewal;

  private State state = State.FOLLOWING;
  private long now;
  private long lease;
  private long term;

  /**
   * Since when the lease is held without a break: the replica must be shown to be current as of
   * then before anything is launched.
   */
  private long leaseHeldSinceMicros = NOT_HELD;

  /**
   * @param runId differs for every run of this node
   * @param random a uniformly random number below its argument
   */
  public Leadership(
      Settings settings,
      EffectSink sink,
      Replica replica,
      String runId,
      IntUnaryOperator random,
      Listener listener) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.listener = listener;
    this.bounds = new LeadershipBounds(settings, replica);
    this.backoff = new ElectionBackoff(settings.batchDelayMicros(), random);
    this.election = new LeaderElection(settings, sink, replica, runId, new ElectionOutcome());
    this.renewal =
        new LeaseRenewal(sink, settings.tuning().leaderRenewMicros(), new RenewalOutcome());
  }

  /** Whether this node neither leads nor campaigns. */
  public boolean isFollower() {
    return state == State.FOLLOWING;
  }

  /** Whether this node holds the leader key, and so answers workers' heartbeats. */
  public boolean isLeader() {
    return state == State.LEADING || state == State.SUSPENDED || state == State.SYNCHRONIZING;
  }

  /** Whether launches may be sent at this moment. */
  public boolean mayLaunch(long nowMicros) {
    return state == State.LEADING && nowMicros < bounds.launchEndMicros();
  }

  /**
   * Whether kills and questions may be sent to machines at this moment: they harm nobody, whoever
   * leads by now.
   */
  public boolean mayKill(long nowMicros) {
    return isLeader() && nowMicros < bounds.answerEndMicros();
  }

  /** The term of the leader key that this node holds, or held last. */
  public long term() {
    return term;
  }

  /** Until when this node may launch, and answer workers. */
  public LeadershipBounds bounds() {
    return bounds;
  }

  /** The time of the events that follow. */
  public void setTime(long nowMicros) {
    now = nowMicros;
  }

  /** Does what is due by now. */
  public void tick(long nowMicros) {
    now = nowMicros;
    if (replica.isLoaded()) {
      backoff.replicaLoaded(now);
    }
    switch (state) {
      case FOLLOWING -> campaignIfPossible();
      case ACQUIRING_LEASE, CANDIDATE -> {}
      case LEADING -> {
        suspendIfOutOfBounds();
        renewal.tick(lease, term, now);
      }
      case SUSPENDED, SYNCHRONIZING -> {
        if (answersEnded()) {
          // Its lease may go on for ever while its watch hangs: then another has to lead.
          deposed(
              "replica not shown to be current for "
                  + (now - bounds.replicaCurrentMicros()) / 1000
                  + " ms: workers' leases expire, since jobs may have been cancelled meanwhile");
          return;
        }
        resumeIfProven();
        renewal.tick(lease, term, now);
      }
    }
  }

  private void campaignIfPossible() {
    if (!replica.isLoaded() || !backoff.mayCampaign(now)) {
      return;
    }
    Replica.Leader leader = replica.leader();
    if (leader != null) {
      election.revokeLeaseOfEarlierRun(leader);
      return;
    }
    transitionTo(State.ACQUIRING_LEASE, "no leader");
    listener.campaignStarted();
    election.requestLease(now);
  }

  private void suspendIfOutOfBounds() {
    if (now < bounds.launchEndMicros()) {
      return;
    }
    transitionTo(
        State.SUSPENDED,
        now >= bounds.leaseEndMicros() ? "lease not renewed" : "replica not shown to be current");
  }

  /** One that was elected after a long outage has the replica of before; it is updated soon. */
  private boolean answersEnded() {
    boolean justElected =
        state == State.SYNCHRONIZING
            && now < leaseHeldSinceMicros + settings.tuning().leaderTtlMicros();
    return now >= bounds.answerEndMicros() && !justElected;
  }

  /**
   * A suspension ends only by both proofs: a renewed lease, and a current replica shown by a
   * request sent no earlier than the renewal.
   */
  private void resumeIfProven() {
    if (state == State.SUSPENDED
        && leaseHeldSinceMicros != NOT_HELD
        && now < bounds.leaseEndMicros()) {
      transitionTo(State.SYNCHRONIZING, "lease renewed");
    }
    if (state == State.SYNCHRONIZING && now >= bounds.leaseEndMicros()) {
      transitionTo(State.SUSPENDED, "lease not renewed");
    }
    if (state == State.SYNCHRONIZING
        && bounds.replicaCurrentMicros() >= leaseHeldSinceMicros
        && now < bounds.launchEndMicros()) {
      transitionTo(State.LEADING, "replica current");
    }
  }

  /** The one function for every change of state. */
  private void transitionTo(State next, String why) {
    if (next == state) {
      return;
    }
    boolean wasLeader = isLeader();
    sink.info("leadership " + state + " -> " + next + " term=" + term + ": " + why);
    state = next;
    if (next == State.SUSPENDED) {
      leaseHeldSinceMicros = NOT_HELD;
      renewal.hasten(now);
    }
    if (!wasLeader && isLeader()) {
      listener.leadershipGained(term);
    } else if (wasLeader && !isLeader()) {
      backoff.retryLater(now);
      listener.leadershipLost(why);
    }
  }

  /**
   * Asks which revision the state service is at, unless the replica was shown to be current just
   * now: on a quiet day no watch is answered for seconds. The request compares the leader key, so
   * it also notices when that is lost.
   */
  private void confirmReplicaCurrent() {
    if (state == State.LEADING
        && now < bounds.replicaCurrentMicros() + settings.tuning().leaderRenewMicros()) {
      return;
    }
    long sentMicros = now;
    sink.call(
        new Request.StoreTransaction(
            List.of(new Request.Condition(StateKeys.LEADER, term)), List.of()),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            replica.recordAnswer(sentMicros, applied.revision());
          }
        });
  }

  /** Another node was seen to lead, or a worker showed a newer fencing token. */
  public void deposed(String why) {
    if (isLeader()) {
      election.revoke(lease);
      transitionTo(State.FOLLOWING, why);
    }
  }

  /**
   * Gives up leadership although the lease can be renewed, because this node is of no use as the
   * leader, for example when it cannot reach the machines. It campaigns again only after a pause.
   */
  public void resign(String why) {
    deposed(why);
    backoff.resigned(now);
  }

  /** The leader key in the replica changed. */
  public void leaderChanged() {
    Replica.Leader leader = replica.leader();
    if (isLeader() && (leader == null || leader.term() != term)) {
      transitionTo(
          State.FOLLOWING,
          leader == null ? "leader key deleted" : "another node leads, term=" + leader.term());
    } else if (leader == null && isFollower()) {
      backoff.leaderKeyDeleted(now, listener.anotherNodeInSync());
    }
  }

  /** What the outcome of an election's requests does to the state. */
  private final class ElectionOutcome implements LeaderElection.Candidate {
    @Override
    public void leaseGranted(long granted, long sentMicros) {
      lease = granted;
      bounds.renewed(sentMicros);
      renewal.renewedAt(sentMicros);
      transitionTo(State.CANDIDATE, "lease " + lease);
      election.createLeaderKey(lease, now);
    }

    @Override
    public void elected(long electedTerm, long sentMicros) {
      term = electedTerm;
      leaseHeldSinceMicros = sentMicros;
      transitionTo(State.SYNCHRONIZING, "elected");
    }

    @Override
    public void notElected(String why) {
      backoff.retryLater(now);
      transitionTo(State.FOLLOWING, why);
    }

    @Override
    public void revocationFailed() {
      backoff.retryLater(now);
    }
  }

  /** What the outcome of a renewal does to the state. */
  private final class RenewalOutcome implements LeaseRenewal.Holder {
    @Override
    public boolean leadsInTerm(long renewedTerm) {
      return isLeader() && renewedTerm == term;
    }

    @Override
    public void renewed(long sentMicros) {
      bounds.renewed(sentMicros);
      if (state == State.SUSPENDED && leaseHeldSinceMicros == NOT_HELD) {
        leaseHeldSinceMicros = sentMicros;
      }
      confirmReplicaCurrent();
    }

    @Override
    public void leaseExpired() {
      transitionTo(State.FOLLOWING, "lease expired");
    }

    @Override
    public void renewalFailed() {
      renewal.retryAfter(now);
    }
  }
}
