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
 * The state machine of one node's role in leader election. The leader key is attached to a lease,
 * and the revision that created the key is the term. {@link LeaderElection} and {@link
 * LeaseRenewal} send the requests. {@link ElectionBackoff} decides when to campaign, and {@link
 * LeadershipBounds} until when a leader may launch tasks and answer workers.
 */
public final class Leadership {

  /** This node's role. The last three states hold the leader key, see {@link #isLeader}. */
  enum State {
    /** This node is a follower; another node leads, or none does. */
    FOLLOWING,
    /** This node has requested the lease for the leader key. */
    ACQUIRING_LEASE,
    /** This node tries to create the leader key on its lease. */
    CANDIDATE,
    /** This node leads and may launch tasks: it holds the lease, and its replica is current. */
    LEADING,
    /**
     * This node leads but may not launch tasks: the lease was not renewed in time, or the replica
     * is too old. The leader still answers workers, so that running tasks survive a short outage.
     */
    SUSPENDED,
    /**
     * This node leads but may not launch tasks yet. The node was just elected, or renewed its lease
     * after a suspension, and the replica has not been shown to be current since then. The lease
     * proves nothing about the replica.
     */
    SYNCHRONIZING
  }

  /** Receives the changes of this node's role. */
  public interface Listener {
    /**
     * Called when this node starts a campaign. From now on, the state that it has replicated as a
     * follower must not change.
     */
    void campaignStarted();

    /** Returns whether another node is the standby in sync, which should campaign first. */
    boolean anotherNodeInSync();

    /** Called when this node becomes the leader of the given term. */
    void leadershipGained(long term);

    /** Called when this node stops being the leader. */
    void leadershipLost(String reason);
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
   * The time since which the lease has been held without a gap, or {@link #NOT_HELD}. Nothing is
   * launched until the replica is shown to be current as of this time.
   */
  private long leaseHeldSinceMicros = NOT_HELD;

  /**
   * Creates the state machine of a node that is a follower.
   *
   * @param runId unique to this run of the node
   * @param random returns a uniformly distributed number from 0 up to, but not including, its
   *     argument
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
    this.election = new LeaderElection(settings, sink, replica, runId, new ElectionListener());
    this.renewal =
        new LeaseRenewal(sink, settings.tuning().leaderRenewMicros(), new RenewalListener());
  }

  /** Returns whether this node neither leads nor campaigns. */
  public boolean isFollower() {
    return state == State.FOLLOWING;
  }

  /** Returns whether this node holds the leader key and therefore answers workers' heartbeats. */
  public boolean isLeader() {
    return state == State.LEADING || state == State.SUSPENDED || state == State.SYNCHRONIZING;
  }

  /** Returns whether launches may be sent at the given time. */
  public boolean mayLaunch(long nowMicros) {
    return state == State.LEADING && nowMicros < bounds.launchEndMicros();
  }

  /**
   * Returns whether kills and probes may be sent to machines at the given time. They are harmless
   * even if another node leads by then.
   */
  public boolean mayKill(long nowMicros) {
    return isLeader() && nowMicros < bounds.answerEndMicros();
  }

  /** Returns the term of the leader key that this node holds, or held last; 0 if it never did. */
  public long term() {
    return term;
  }

  /** Returns the bounds until which this node may launch tasks and answer workers. */
  public LeadershipBounds bounds() {
    return bounds;
  }

  /** Sets the time of the events that follow. */
  public void setTime(long nowMicros) {
    now = nowMicros;
  }

  /** Campaigns, renews the lease and changes the state where one of these is due. */
  public void tick(long nowMicros) {
    now = nowMicros;
    if (replica.isLoaded()) {
      backoff.replicaLoaded(now);
    }
    switch (state) {
      case FOLLOWING -> campaignIfPossible();
      case ACQUIRING_LEASE, CANDIDATE -> {}
      case LEADING -> {
        suspendIfLaunchPeriodOver();
        renewal.tick(lease, term, now);
      }
      case SUSPENDED, SYNCHRONIZING -> {
        if (isAnswerPeriodOver()) {
          // While the watch hangs, the lease can still be renewed indefinitely. Another node has to
          // lead then.
          stepDown(
              "replica not shown to be current for "
                  + (now - bounds.replicaCurrentMicros()) / 1000
                  + " ms: workers' leases expire, because jobs may have been cancelled meanwhile");
          return;
        }
        resumeIfLeaseAndReplicaCurrent();
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

  private void suspendIfLaunchPeriodOver() {
    if (now < bounds.launchEndMicros()) {
      return;
    }
    transitionTo(
        State.SUSPENDED,
        now >= bounds.leaseEndMicros() ? "lease not renewed" : "replica not shown to be current");
  }

  /**
   * Returns whether this leader may no longer answer heartbeats. A leader that was elected after a
   * long outage still has a replica from before the outage, which is updated soon. A synchronizing
   * leader is therefore exempt for one lease period from {@link #leaseHeldSinceMicros}.
   */
  private boolean isAnswerPeriodOver() {
    boolean leaseRecentlyObtained =
        state == State.SYNCHRONIZING
            && now < leaseHeldSinceMicros + settings.tuning().leaderTtlMicros();
    return now >= bounds.answerEndMicros() && !leaseRecentlyObtained;
  }

  /**
   * Ends a suspension once the lease is renewed and the replica is current. The request that shows
   * the replica to be current must have been sent no earlier than the renewal.
   */
  private void resumeIfLeaseAndReplicaCurrent() {
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

  /**
   * Changes the state, logs the transition and notifies the listener. All state changes go through
   * this method.
   */
  private void transitionTo(State next, String reason) {
    if (next == state) {
      return;
    }
    boolean wasLeader = isLeader();
    sink.info("leadership " + state + " -> " + next + " term=" + term + ": " + reason);
    state = next;
    if (next == State.SUSPENDED) {
      leaseHeldSinceMicros = NOT_HELD;
      renewal.scheduleImmediately(now);
    }
    if (!wasLeader && isLeader()) {
      listener.leadershipGained(term);
    } else if (wasLeader && !isLeader()) {
      backoff.retryLater(now);
      listener.leadershipLost(reason);
    }
  }

  /**
   * Asks the state service for its current revision, unless the replica was recently shown to be
   * current. Without changes, no watch is answered for seconds. The transaction is conditional on
   * the leader key, so it fails if this node has lost the key.
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

  /**
   * Gives up leadership and revokes the lease, for example because another node leads or a worker
   * has a newer fencing token. Has no effect if this node does not lead.
   */
  public void stepDown(String reason) {
    if (isLeader()) {
      election.revoke(lease);
      transitionTo(State.FOLLOWING, reason);
    }
  }

  /**
   * Gives up leadership although the lease can be renewed, because this node cannot act as the
   * leader, for example when it cannot reach the machines. This node campaigns again only after a
   * delay.
   */
  public void resign(String reason) {
    stepDown(reason);
    backoff.resigned(now);
  }

  /** Handles a change of the leader key in the replica. */
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

  /** Applies the outcome of the requests of an election to the state. */
  private final class ElectionListener implements LeaderElection.Listener {
    @Override
    public void leaseGranted(long granted, long sentMicros) {
      lease = granted;
      bounds.renewed(sentMicros);
      renewal.renewedAt(sentMicros);
      transitionTo(State.CANDIDATE, "lease granted, lease=" + lease);
      election.createLeaderKey(lease, now);
    }

    @Override
    public void elected(long electedTerm, long sentMicros) {
      term = electedTerm;
      leaseHeldSinceMicros = sentMicros;
      transitionTo(State.SYNCHRONIZING, "elected");
    }

    @Override
    public void notElected(String reason) {
      backoff.retryLater(now);
      transitionTo(State.FOLLOWING, reason);
    }

    @Override
    public void revocationFailed() {
      backoff.retryLater(now);
    }
  }

  /** Applies the outcome of a lease renewal to the state. */
  private final class RenewalListener implements LeaseRenewal.Listener {
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
      renewal.scheduleRetry(now);
    }
  }
}
