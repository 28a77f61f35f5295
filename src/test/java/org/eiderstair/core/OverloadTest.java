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
 * A leader of 4,000 machines with sockets for a few of them: the others reach its peers. That looks
 * like a partition, and is none.
 */
class OverloadTest {
  private static final int MACHINES = 4_000;
  private static final int REACHING_PEERS = 2_990;
  private static final long TICK_MICROS = 50_000;
  private static final long RUN_MICROS = 3_500_000;

  private final LeaderBench bench = new LeaderBench();
  private final Membership membership =
      new Membership(
          "n0",
          List.of("n1"),
          Map.of(),
          "run",
          bench.settings.workerTimings().heartbeatMicros(),
          (peer, run, after, callback) -> callback.accept(new PeerAnswer.Digest(digest())),
          text -> {});
  private LeaderTerm leaderTerm;

  private static HeartbeatDigest digest() {
    List<HeartbeatDigest.Change> changes = new ArrayList<>();
    for (int i = 0; i < REACHING_PEERS; i++) {
      changes.add(new HeartbeatDigest.Change("m-" + i, true, 1_000_000));
    }
    return new HeartbeatDigest("peer-run", true, REACHING_PEERS, false, changes);
  }

  private void lead() {
    for (int i = 0; i < MACHINES; i++) {
      bench.replica.apply(
          new Reply.Item(
              StateKeys.worker("m-" + i), new WorkerRecord("10.0.0.1:1", "t", "a", false), 1));
    }
    bench.lead();
    leaderTerm =
        new LeaderTerm(
            bench.settings,
            bench.sink,
            bench.replica,
            bench.leadership,
            membership,
            bench.standby,
            bench.overload,
            bench.leadership.term(),
            n -> 0);
    leaderTerm.tick(bench.now);
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
              FencingToken.first(bench.leadership.term()),
              Heartbeat.NO_NOTICE,
              List.of());
      leaderTerm.heartbeatReceived(i + 1, heartbeat, false, bench.now);
    }
    leaderTerm.tick(bench.now);
  }

  /** No heartbeat arrives any more, and peers receive most of them. */
  private void runWithoutHeartbeats(boolean overloaded) {
    for (long end = bench.now + RUN_MICROS; bench.now < end; bench.now += TICK_MICROS) {
      if (overloaded) {
        bench.overload.recordOverload(new Event.Overloaded(505, 0), bench.now);
      }
      if (!hasResigned()) {
        leaderTerm.tick(bench.now);
      }
    }
  }

  private boolean hasResigned() {
    return bench.effects.stream()
        .anyMatch(e -> e instanceof Effect.Call c && c.request() instanceof Request.LeaseRevoke);
  }

  @Example
  void anOverloadedLeaderDoesNotHandOver() {
    lead();
    runWithoutHeartbeats(true);
    assertFalse(hasResigned());
  }

  @Example
  void aLeaderThatIsCutFromItsMachinesHandsOver() {
    lead();
    runWithoutHeartbeats(false);
    assertTrue(hasResigned());
  }

  /**
   * Machines that were silent for long are no reason either; once the overload is over they are.
   */
  @Example
  void silenceCountsAgainOnceTheOverloadIsOver() {
    bench.machines(MACHINES);
    bench.overload.recordOverload(new Event.Overloaded(0, 3_000), bench.now += 8_000_000);
    bench.workers.tick(bench.now, false);
    assertFalse(bench.workers.reachability().isIsolated());
    bench.workers.tick(bench.now += 12_000_000, false);
    assertTrue(bench.workers.reachability().isIsolated());
  }

  /**
   * Without a socket to spare a node may still keep up with its events: nothing is put off then.
   */
  @Example
  void workIsPutOffOnlyWhileEventsWait() {
    bench.overload.recordOverload(new Event.Overloaded(505, 0), bench.now);
    assertFalse(bench.overload.defersWork(bench.now));
    bench.overload.recordOverload(new Event.Overloaded(0, 3_000), bench.now);
    assertTrue(bench.overload.defersWork(bench.now + 500_000));
    assertFalse(bench.overload.defersWork(bench.now + 11_000_000));
    bench.workers.tick(bench.now + 2_000_000, false);
    assertTrue(bench.workers.reachability().isOverloaded());
  }
}
