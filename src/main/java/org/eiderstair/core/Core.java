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
 * One controller without input, output, clock or thread: events come in with the time, effects go
 * out. Given the same events, times and random numbers it does the same again.
 */
public final class Core {
  private static final long MAX_TICK_MICROS = 50_000;

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
  private final FollowerHeartbeats followerHeartbeats;
  private final PeerRequestHandler peerRequests;
  private final Event.Handler eventHandler = new EventHandler();

  /** Null while this node does not lead. */
  private LeaderTerm leaderTerm;

  private long now;

  /**
   * @param runId differs for every run of a node, so that it can tell its own earlier runs
   * @param dayOffsetMicros the time of day less the steady time, by which other nodes and later
   *     runs know how old a job is
   * @param random a uniformly random number below its argument
   */
  public Core(
      Settings settings,
      String runId,
      long dayOffsetMicros,
      IntUnaryOperator random,
      Consumer<Effect> effects) {
    this.settings = settings;
    this.random = random;
    this.sink = new EffectSink(effects);
    this.replica = new Replica(settings, sink, new ReplicaChanges(), dayOffsetMicros);
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
        new Leadership(settings, sink, replica, runId, random, new LeadershipChanges());
    this.standbyTakeover = new StandbyTakeover(sink, replica, leadership, standby, () -> now);
    this.followerHeartbeats =
        new FollowerHeartbeats(settings, sink, replica, stateServiceHealth, membership);
    this.peerRequests =
        new PeerRequestHandler(sink, replica, leadership, stateServiceHealth, membership, standby);
  }

  /** Takes one event and does what is due by now. */
  public void handle(Event event, long nowMicros) {
    take(event, nowMicros);
    tick(nowMicros);
  }

  /**
   * Takes one event of several at hand: what is decided for all of them together waits for {@link
   * #tick}.
   */
  public void take(Event event, long nowMicros) {
    now = nowMicros;
    try {
      replica.advanceTo(now);
      leadership.setTime(now);
      event.dispatchTo(eventHandler);
    } catch (RuntimeException | StackOverflowError e) {
      recoverFrom(e, "event " + event.getClass().getSimpleName());
    }
  }

  /** Decides what is due by now, once for all events that were taken. */
  public void tick(long nowMicros) {
    now = nowMicros;
    try {
      runDue();
    } catch (RuntimeException | StackOverflowError e) {
      recoverFrom(e, "tick");
    }
  }

  /**
   * What may be on a machine is not known any more after half an event. A leader resigns and lets
   * another begin a new term; it must never go on. What else fails concerns one request, and the
   * node goes on without it.
   */
  private void recoverFrom(Throwable failure, String what) {
    StackTraceElement[] trace = failure.getStackTrace();
    String where = trace.length == 0 ? "" : " at " + trace[0];
    sink.error(what + " failed: " + failure + where);
    if (leadership.isLeader()) {
      leadership.resign("an event was only half handled");
    }
  }

  /** When the next tick is needed at the latest, if nothing happens before. */
  public long dueMicros() {
    long due = Math.min(now + MAX_TICK_MICROS, jobService.dueMicros());
    return leaderTerm == null ? due : Math.min(due, leaderTerm.passDueMicros());
  }

  /** Whether this node holds the leader key. */
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
                  leadership.deposed(
                      "a peer that the state service serves follows leader="
                          + newer.node()
                          + ", term="
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

  /** Hands each type of event to the part that it is for. */
  private final class EventHandler implements Event.Handler {
    @Override
    public void tick() {}

    @Override
    public void replyReceived(Event.ReplyReceived event) {
      sink.replied(event.callId(), event.reply());
    }

    @Override
    public void overloaded(Event.Overloaded event) {
      overload.noteOverload(event, now);
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
        followerHeartbeats.received(event, now);
      } else {
        leaderTerm.heartbeatReceived(event.exchange(), event.heartbeat(), event.relayed(), now);
      }
    }
  }

  /** What changes in the replica. */
  private final class ReplicaChanges implements Replica.Listener {
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
      sink.info("node " + settings.node() + " ready");
    }
  }

  /** What changes in this node's leadership. */
  private final class LeadershipChanges implements Leadership.Listener {
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
    public void leadershipLost(String why) {
      LeaderTerm ended = leaderTerm;
      leaderTerm = null;
      ended.close();
    }
  }
}
