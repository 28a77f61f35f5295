package org.eiderstair.core;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.jobs.CancellationBroadcast;
import org.eiderstair.core.jobs.JobService;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.record.StandbyRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateServiceHealth;
import org.eiderstair.core.workers.HeartbeatRelay;

/**
 * One controller without input, output, clock or thread: events come in with the time, effects go
 * out. Given the same events, times and random numbers it does the same again.
 */
public final class Core implements Replica.Listener, Leadership.Listener {
  private static final long MAX_TICK_MICROS = 50_000;
  private static final long TAKEOVER_RETRY_MICROS = 2_000_000;

  private final Settings settings;
  private final EffectSink sink;
  private final IntUnaryOperator random;
  private final Replica replica;
  private final JobService jobService;
  private final CancellationBroadcast news;
  private final Leadership leadership;
  private final HeartbeatRelay relay;
  private final StateServiceHealth reach;
  private final Membership membership;
  private final Standby standby;
  private boolean takingOver;
  private long nextTakeoverMicros;
  private Scheduler scheduler;
  private long now;

  /**
   * @param incarnation differs for every run of a node, so that it can tell its own earlier runs
   * @param dayOffsetMicros the time of day less the steady time, to tell other nodes and later runs
   *     how old a job is
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
    this.replica = new Replica(settings, sink, this, dayOffsetMicros);
    this.news = new CancellationBroadcast(settings.node(), sink);
    this.jobService = new JobService(settings, sink, replica, news::committed);
    this.relay = new HeartbeatRelay(sink);
    this.reach = new StateServiceHealth(settings, sink, replica);
    sink.watch(reach::replied);
    this.membership =
        new Membership(
            settings.node(),
            settings.peers(),
            settings.nodeZones(),
            runId,
            settings.reportMicros(),
            this::askHeard,
            sink::info);
    this.standby = new Standby(settings.node(), runId, sink::info);
    this.leadership = new Leadership(settings, sink, replica, runId, random, this);
  }

  /** One event, and what time has made due. */
  public void handle(Event event, long nowMicros) {
    take(event, nowMicros);
    tick(nowMicros);
  }

  /**
   * One event of several at hand: what is decided for all of them together waits for {@link #tick}.
   */
  public void take(Event event, long nowMicros) {
    guarded("event " + event.getClass().getSimpleName(), () -> takeWhole(event, nowMicros));
  }

  /**
   * What may be on a machine is not known any more after half an event. A leader leaves office and
   * lets another begin its term anew; it must never go on. What else fails concerns one request,
   * and the node goes on without it.
   */
  private void guarded(String what, Runnable step) {
    try {
      step.run();
    } catch (RuntimeException | StackOverflowError e) {
      StackTraceElement[] at = e.getStackTrace();
      sink.error(what + " failed: " + e + (at.length == 0 ? "" : " at " + at[0]));
      if (leadership.isLeader()) {
        leadership.resign("half an event was taken");
      }
    }
  }

  private void takeWhole(Event event, long nowMicros) {
    now = nowMicros;
    replica.at(now);
    leadership.setTime(now);
    if (event instanceof Event.ReplyReceived replied) {
      sink.replied(replied.call(), replied.reply());
    } else if (event instanceof Event.HeartbeatReceived reported) {
      reported(reported);
    } else if (event instanceof Event.Poll poll) {
      jobService.poll(poll.exchange(), poll.id());
    } else if (event instanceof Event.Submit submit) {
      jobService.submit(submit.exchange(), submit.id(), submit.spec(), submit.fault());
    } else if (event instanceof Event.Cancel cancel) {
      jobService.cancel(cancel.exchange(), cancel.id());
    } else if (event instanceof Event.StateServiceStatusRequested asked) {
      sink.respond(asked.exchange(), reach.standing());
    } else if (event instanceof Event.MembershipRequested asked) {
      sink.respond(
          asked.exchange(),
          new Answer.ReachableWorkers(membership.digestAfter(asked.run(), asked.after(), now)));
    } else if (event instanceof Event.ReplicationReceived told) {
      // A leader that is known to have been replaced is not followed.
      boolean mayFollow =
          leadership.isFollower()
              && (replica.leader() == null || told.batch().term() >= replica.leader().term());
      sink.respond(
          told.exchange(),
          new Answer.ReplicationAck(standby.receive(told.batch(), mayFollow, now)));
    } else if (event instanceof Event.CancellationsReceived told) {
      told.cancellations().forEach(replica::cancelledElsewhere);
      sink.respond(told.exchange(), new Answer.Acknowledged());
    } else if (event instanceof Event.ReadyProbe probe) {
      sink.respond(probe.exchange(), new Answer.Ready(replica.loaded() && !reach.alone()));
    }
  }

  /** When the next tick is needed at the latest, if nothing happens before. */
  public long dueMicros() {
    long due = now + MAX_TICK_MICROS;
    if (scheduler != null) {
      due = Math.min(due, scheduler.passDueMicros());
    }
    return Math.min(due, jobService.dueMicros());
  }

  /** Decides what is due now, once for all events that were taken. */
  public void tick(long nowMicros) {
    guarded("tick", () -> tickWhole(nowMicros));
  }

  private void tickWhole(long nowMicros) {
    now = nowMicros;
    replica.at(now);
    replica.tick(now);
    reach.tick(now);
    String newer = reach.newerLeader(leadership.term());
    if (newer != null && leadership.isLeader()) {
      leadership.deposed(
          "a peer that the state service serves follows " + newer + ", term=" + reach.newerTerm());
    }
    takeOverIfLeaderIsSilent();
    leadership.tick(now);
    jobService.tick(now);
    if (scheduler != null) {
      scheduler.tick(now);
    }
  }

  private void reported(Event.HeartbeatReceived event) {
    if (scheduler != null && leadership.isLeader()) {
      scheduler.reported(event.exchange(), event.report(), event.relayed(), now);
      return;
    }
    if (!event.relayed()) {
      membership.heartbeatReceived(event.report().machine(), now);
    }
    Replica.Leader leader = replica.leader();
    // While the state service refuses this node alone, its own picture of the leader is old.
    String newer = reach.newerLeader(leader == null ? 0 : leader.term());
    String target = newer != null ? newer : leader == null ? null : leader.node();
    if (event.relayed()) {
      sink.respond(event.exchange(), new Answer.Redirect(null));
    } else {
      relay.reported(
          event.exchange(), event.report(), settings.node().equals(target) ? null : target, now);
    }
  }

  private void askHeard(String peer, String run, long after, Consumer<Membership.Answer> callback) {
    sink.call(
        new Request.PeerMembership(peer, run, after),
        reply ->
            callback.accept(
                reply instanceof Reply.PeerMembership told
                    ? new Membership.Answer(told.digest())
                    : reply instanceof Reply.Refused refused && refused.status() == 404
                        ? new Membership.Answer(null)
                        : null));
  }

  /**
   * The standby in sync has had no batch from its leader for a while: it marks the record as taken
   * over, so that the leader, which launches nothing that the standby does not acknowledge, can
   * never launch again; then it revokes that leader's lease instead of waiting for its expiry. A
   * leader that is alive and merely out of this node's reach has removed it from the record by now.
   */
  private void takeOverIfLeaderIsSilent() {
    Replica.StoredStandby record = replica.standby();
    Replica.Leader leader = replica.leader();
    if (takingOver
        || now < nextTakeoverMicros
        || record == null
        || leader == null
        || !leadership.isFollower()
        || !standby.leaderTimedOut(now)
        || !standby.namesThisNode(record.value())
        || record.value().term() != leader.term()) {
      return;
    }
    StandbyRecord takenOver = record.value().withTakeover();
    takingOver = true;
    standby.stopFollowing();
    sink.info(
        "taking over from leader=" + leader.node() + ", which is silent, term=" + leader.term());
    sink.call(
        new Request.StoreTxn(
            List.of(
                new Request.Condition(StateKeys.LEADER, leader.term()),
                new Request.Condition(StateKeys.STANDBY, record.version())),
            List.of(new Request.Write(StateKeys.STANDBY, takenOver, 0))),
        reply -> {
          takingOver = false;
          nextTakeoverMicros = now + TAKEOVER_RETRY_MICROS;
          sink.info("takeover of term=" + leader.term() + ": " + reply);
          if (reply instanceof Reply.Applied applied) {
            replica.apply(new Reply.Item(StateKeys.STANDBY, takenOver, applied.revision()));
            sink.call(new Request.LeaseRevoke(leader.lease()), dropped -> {});
          }
        });
  }

  @Override
  public void campaignStarted() {
    standby.stopFollowing();
  }

  @Override
  public boolean anotherNodeInSync() {
    Replica.StoredStandby record = replica.standby();
    return record != null
        && Standby.namesAnyNode(record.value())
        && !standby.namesThisNode(record.value());
  }

  /** Whether this node holds the office of leader. */
  public boolean isLeader() {
    return leadership.isLeader();
  }

  @Override
  public void leaderChanged() {
    news.leader(replica.leader());
    leadership.leaderChanged();
  }

  @Override
  public void jobChanged(Job job, boolean isNew) {
    if (scheduler != null) {
      scheduler.jobChanged(job);
    }
  }

  @Override
  public void loaded() {
    sink.info("node " + settings.node() + " ready");
  }

  @Override
  public void leadershipGained(long term) {
    scheduler =
        new Scheduler(settings, sink, replica, leadership, membership, standby, term, random);
  }

  @Override
  public void leadershipLost(String why) {
    Scheduler ended = scheduler;
    scheduler = null;
    ended.close();
  }
}
