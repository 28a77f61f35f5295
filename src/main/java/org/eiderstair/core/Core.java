package org.eiderstair.core;

import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.jobs.CancellationForwarder;
import org.eiderstair.core.jobs.JobService;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.membership.PeerAnswer;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateServiceHealth;
import org.eiderstair.core.workers.OverloadMonitor;

/**
 * The decision logic of one controller, as a deterministic state machine without I/O, clock or
 * threads. Callers pass in events with the current time, and the core emits effects. The same
 * events, times and random numbers always lead to the same effects.
 */
public final class Core {
  private static final long MAX_TICK_INTERVAL_MICROS = 50_000;

  private final Settings settings;
  private final EffectSink sink;
  private final IntUnaryOperator random;
  private final Replica replica;
  private final JobService jobService;
  private final CancellationForwarder cancellationForwarder;
  private final Leadership leadership;
  private final StateServiceHealth stateServiceHealth;
  private final Membership membership;
  private final Standby standby;
  private final OverloadMonitor overload;
  private final StandbyTakeover standbyTakeover;
  private final FollowerHeartbeatHandler followerHeartbeats;
  private final PeerRequestHandler peerRequests;
  private final Event.Handler eventHandler = new EventHandler();

  /** Null while this node does not lead. */
  private LeaderTerm leaderTerm;

  private long now;

  /**
   * Creates the core of a node that has just started.
   *
   * @param runId unique to this run of the node, so that a node can tell its earlier runs apart
   * @param wallClockOffsetMicros the wall-clock time minus the monotonic time; other nodes and
   *     later runs compute the age of a job from wall-clock times
   * @param random returns a uniformly distributed number from 0 up to, but not including, its
   *     argument
   * @param effects receives the effects in their order
   */
  public Core(
      Settings settings,
      String runId,
      long wallClockOffsetMicros,
      IntUnaryOperator random,
      Consumer<Effect> effects) {
    this.settings = settings;
    this.random = random;
    this.sink = new EffectSink(effects);
    this.replica = new Replica(settings, sink, new ReplicaListener(), wallClockOffsetMicros);
    this.cancellationForwarder = new CancellationForwarder(settings.node(), sink);
    this.jobService = new JobService(settings, sink, replica, cancellationForwarder::committed);
    this.stateServiceHealth = new StateServiceHealth(settings, sink, replica);
    sink.observeReplies(stateServiceHealth::replyReceived);
    this.membership =
        new Membership(
            settings.node(),
            settings.peers(),
            settings.nodeZones(),
            runId,
            settings.workerTimings().heartbeatMicros(),
            this::requestMembership,
            sink::info);
    this.standby = new Standby(settings.node(), runId, sink::info);
    this.overload = new OverloadMonitor(settings, sink);
    this.leadership =
        new Leadership(settings, sink, replica, runId, random, new LeadershipListener());
    this.standbyTakeover = new StandbyTakeover(sink, replica, leadership, standby, () -> now);
    this.followerHeartbeats =
        new FollowerHeartbeatHandler(settings, sink, replica, stateServiceHealth, membership);
    this.peerRequests =
        new PeerRequestHandler(sink, replica, leadership, stateServiceHealth, membership, standby);
  }

  /** Sets whether log lines at level debug are written; frequent ones are left out otherwise. */
  public void setDebugEnabled(boolean enabled) {
    sink.setDebugEnabled(enabled);
  }

  /** Processes one event, then performs all work that is due. */
  public void handle(Event event, long nowMicros) {
    process(event, nowMicros);
    tick(nowMicros);
  }

  /**
   * Processes one event of a batch. Decisions that are made once for the whole batch are left to
   * {@link #tick}, which the caller must call after the last event.
   */
  public void process(Event event, long nowMicros) {
    now = nowMicros;
    try {
      replica.advanceTo(now);
      leadership.setTime(now);
      event.dispatchTo(eventHandler);
    } catch (RuntimeException | StackOverflowError e) {
      recoverFrom(e, "handling of event=" + event.getClass().getSimpleName());
    }
  }

  /** Performs all work that is due, once for all events processed since the last call. */
  public void tick(long nowMicros) {
    now = nowMicros;
    try {
      runDue();
    } catch (RuntimeException | StackOverflowError e) {
      recoverFrom(e, "tick");
    }
  }

  /**
   * Handles an exception that interrupted the processing of an event. After it, the leader's state
   * of the machines may be inconsistent. A leader therefore resigns, so that another node begins a
   * new term. On a follower, the failure affects one request only, and the node continues.
   */
  private void recoverFrom(Throwable failure, String operation) {
    StackTraceElement[] trace = failure.getStackTrace();
    String where = trace.length == 0 ? "" : " at " + trace[0];
    sink.error(operation + " failed: " + failure + where);
    if (leadership.isLeader()) {
      leadership.resign("an exception interrupted " + operation);
    }
  }

  /** Returns the latest time at which {@link #tick} must be called if no event arrives earlier. */
  public long dueMicros() {
    long due = Math.min(now + MAX_TICK_INTERVAL_MICROS, jobService.dueMicros());
    return leaderTerm == null ? due : Math.min(due, leaderTerm.passDueMicros());
  }

  /** Returns whether this node holds the leader key. */
  public boolean isLeader() {
    return leadership.isLeader();
  }

  private void runDue() {
    replica.advanceTo(now);
    replica.tick(now);
    stateServiceHealth.tick(now);
    stepDownForNewerLeader();
    standbyTakeover.tick();
    leadership.tick(now);
    jobService.tick(now);
    if (leaderTerm != null) {
      leaderTerm.tick(now);
    }
  }

  private void stepDownForNewerLeader() {
    if (leadership.isLeader()) {
      stateServiceHealth
          .newerLeader(leadership.term())
          .ifPresent(
              newer ->
                  leadership.stepDown(
                      "a peer that the state service serves follows leader="
                          + newer.node()
                          + " term="
                          + newer.term()));
    }
  }

  private void requestMembership(
      String peer, String runId, long afterSequence, Consumer<PeerAnswer> callback) {
    sink.call(
        new Request.PeerMembership(peer, runId, afterSequence),
        reply -> callback.accept(membershipAnswer(reply)));
  }

  private static PeerAnswer membershipAnswer(Reply reply) {
    if (reply instanceof Reply.PeerMembership membership) {
      return new PeerAnswer.Digest(membership.digest());
    }
    boolean unsupported = reply instanceof Reply.Refused refused && refused.isNotFound();
    return unsupported ? new PeerAnswer.Unsupported() : new PeerAnswer.NoAnswer();
  }

  /** Dispatches each type of event to the component that handles it. */
  private final class EventHandler implements Event.Handler {
    @Override
    public void tick() {}

    @Override
    public void replyReceived(Event.ReplyReceived event) {
      sink.replied(event.callId(), event.reply());
    }

    @Override
    public void overloaded(Event.Overloaded event) {
      overload.recordOverload(event, now);
    }

    @Override
    public void submit(Event.Submit event) {
      jobService.submit(event.exchange(), event.submission());
    }

    @Override
    public void poll(Event.Poll event) {
      jobService.poll(event.exchange(), event.id());
    }

    @Override
    public void cancel(Event.Cancel event) {
      jobService.cancel(event.exchange(), event.id());
    }

    @Override
    public void stateServiceStatusRequested(Event.StateServiceStatusRequested event) {
      peerRequests.stateServiceStatus(event);
    }

    @Override
    public void membershipRequested(Event.MembershipRequested event) {
      peerRequests.membership(event, now);
    }

    @Override
    public void replicationReceived(Event.ReplicationReceived event) {
      peerRequests.replication(event, now);
    }

    @Override
    public void cancellationsReceived(Event.CancellationsReceived event) {
      peerRequests.cancellations(event);
    }

    @Override
    public void readyProbe(Event.ReadyProbe event) {
      boolean ready = replica.isLoaded() && !stateServiceHealth.isIsolated();
      sink.respond(event.exchange(), new Answer.Ready(ready));
    }

    @Override
    public void heartbeatReceived(Event.HeartbeatReceived event) {
      if (leaderTerm == null) {
        followerHeartbeats.handle(event, now);
      } else {
        leaderTerm.heartbeatReceived(event.exchange(), event.heartbeat(), event.relayed(), now);
      }
    }
  }

  /** Passes changes of the replica on to leadership and to the current term. */
  private final class ReplicaListener implements Replica.Listener {
    @Override
    public void leaderChanged() {
      cancellationForwarder.leaderChanged(replica.leader());
      leadership.leaderChanged();
    }

    @Override
    public void jobChanged(Job job, boolean isNew) {
      if (leaderTerm != null) {
        leaderTerm.jobChanged(job);
      }
    }

    @Override
    public void loaded() {
      sink.info("node ready: node=" + settings.node());
    }
  }

  /** Starts and ends terms as this node gains and loses leadership. */
  private final class LeadershipListener implements Leadership.Listener {
    @Override
    public void campaignStarted() {
      standby.stopFollowing();
    }

    @Override
    public boolean anotherNodeInSync() {
      Replica.StoredStandby record = replica.standby();
      return record != null
          && Standby.namesAnyNode(record.value())
          && !standby.isInSync(record.value());
    }

    @Override
    public void leadershipGained(long term) {
      leaderTerm =
          new LeaderTerm(
              settings, sink, replica, leadership, membership, standby, overload, term, random);
    }

    @Override
    public void leadershipLost(String reason) {
      LeaderTerm ended = leaderTerm;
      leaderTerm = null;
      ended.close();
    }
  }
}
