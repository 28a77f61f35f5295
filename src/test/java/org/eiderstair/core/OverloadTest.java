package org.eiderstair.core;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.membership.PeerAnswer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.HeartbeatDigest;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.WorkerRecord;

/**
 * Guards against the resignation of an overloaded leader. A leader of 4,000 machines has too few
 * sockets for all of them, so the others send their heartbeats to its peers. This looks like a
 * partition between the leader and its machines, but is none.
 */
class OverloadTest {
  private static final int MACHINES = 4_000;
  private static final int REACHING_PEERS = 2_990;
  private static final long TICK_MICROS = 50_000;
  private static final long RUN_MICROS = 3_500_000;

  private final LeaderFixture leader = new LeaderFixture();
  private final Membership membership =
      new Membership(
          "n0",
          List.of("n1"),
          Map.of(),
          "run",
          leader.settings.workerTimings().heartbeatMicros(),
          (peer, runId, afterSequence, callback) ->
              callback.accept(new PeerAnswer.Digest(digest())),
          text -> {});
  private LeaderTerm leaderTerm;

  private static HeartbeatDigest digest() {
    List<HeartbeatDigest.Change> changes = new ArrayList<>();
    for (int i = 0; i < REACHING_PEERS; i++) {
      changes.add(new HeartbeatDigest.Change("m-" + i, true, 1_000_000));
    }
    return new HeartbeatDigest("peer-run", true, REACHING_PEERS, false, changes);
  }

  private void becomeLeader() {
    for (int i = 0; i < MACHINES; i++) {
      leader.replica.apply(
          new Reply.Item(
              StateKeys.worker("m-" + i), new WorkerRecord("10.0.0.1:1", "t", "a", false), 1));
    }
    leader.lead();
    leaderTerm =
        new LeaderTerm(
            leader.settings,
            leader.sink,
            leader.replica,
            leader.leadership,
            membership,
            leader.standby,
            leader.overload,
            leader.leadership.term(),
            n -> 0);
    leaderTerm.tick(leader.now);
    for (int i = 0; i < MACHINES; i++) {
      Heartbeat heartbeat =
          new Heartbeat(
              "m-" + i,
              "10.0.0.1:1",
              "t",
              "a",
              false,
              1,
              1,
              FencingToken.first(leader.leadership.term()),
              Heartbeat.NO_NOTICE,
              List.of());
      leaderTerm.heartbeatReceived(i + 1, heartbeat, false, leader.now);
    }
    leaderTerm.tick(leader.now);
  }

  /** Advances the time without heartbeats to the leader, while peers receive most of them. */
  private void runWithoutHeartbeats(boolean overloaded) {
    for (long end = leader.now + RUN_MICROS; leader.now < end; leader.now += TICK_MICROS) {
      if (overloaded) {
        leader.overload.recordOverload(new Event.Overloaded(505, 0), leader.now);
      }
      if (!hasResigned()) {
        leaderTerm.tick(leader.now);
      }
    }
  }

  private boolean hasResigned() {
    return leader.effects.stream()
        .anyMatch(e -> e instanceof Effect.Call c && c.request() instanceof Request.LeaseRevoke);
  }

  @Example
  void anOverloadedLeaderDoesNotResign() {
    becomeLeader();
    runWithoutHeartbeats(true);
    assertFalse(hasResigned());
  }

  @Example
  void aLeaderPartitionedFromItsMachinesResigns() {
    becomeLeader();
    runWithoutHeartbeats(false);
    assertTrue(hasResigned());
  }

  /**
   * During an overload, machines that have long been silent are no reason to consider the leader
   * isolated. After the overload, they are.
   */
  @Example
  void silentMachinesShowIsolationOnlyOnceTheOverloadIsOver() {
    leader.machines(MACHINES);
    leader.overload.recordOverload(new Event.Overloaded(0, 3_000), leader.now += 8_000_000);
    leader.workers.tick(leader.now, false);
    assertFalse(leader.workers.reachability().isIsolated());
    leader.workers.tick(leader.now += 12_000_000, false);
    assertTrue(leader.workers.reachability().isIsolated());
  }

  /** A node that has run out of sockets may still keep up with its events, and defers no work. */
  @Example
  void workIsDeferredOnlyWhileEventsWait() {
    leader.overload.recordOverload(new Event.Overloaded(505, 0), leader.now);
    assertFalse(leader.overload.defersWork(leader.now));
    leader.overload.recordOverload(new Event.Overloaded(0, 3_000), leader.now);
    assertTrue(leader.overload.defersWork(leader.now + 500_000));
    assertFalse(leader.overload.defersWork(leader.now + 11_000_000));
    leader.workers.tick(leader.now + 2_000_000, false);
    assertTrue(leader.workers.reachability().isOverloaded());
  }
}
