package org.eiderstair.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.workers.OverloadMonitor;

/** Tests the start of a leader's term. */
class LeaderTermTest {
  private final LeaderBench bench = new LeaderBench();

  private Effect.Call latestWatch() {
    return (Effect.Call)
        bench.effects.stream()
            .filter(e -> e instanceof Effect.Call c && c.request() instanceof Request.StoreWatch)
            .reduce((first, last) -> last)
            .orElseThrow();
  }

  /**
   * Guards against recovery from an old replica. There may have been another leader that this node
   * has not seen yet, and that leader may have used machines missing from the replica. The replica
   * must therefore reach this node's own election before the term starts.
   */
  @Example
  void theTermStartsOnlyOnceTheReplicaReachesTheElection() {
    bench.load();
    bench.replica.tick(bench.now);
    long term = bench.replica.revision() + 50;
    Membership membership = LeaderBench.membershipWithoutPeers();
    LeaderTerm leaderTerm =
        new LeaderTerm(
            bench.settings,
            bench.sink,
            bench.replica,
            bench.leadership,
            membership,
            bench.standby,
            new OverloadMonitor(bench.settings, bench.sink),
            term,
            n -> 0);
    leaderTerm.tick(bench.now);
    Heartbeat heartbeat =
        new Heartbeat(
            "m", "x", "t", "a", false, 1, 1, FencingToken.NONE, Heartbeat.NO_NOTICE, List.of());
    leaderTerm.heartbeatReceived(7, heartbeat, false, bench.now);
    assertTrue(
        bench.effects.stream()
            .anyMatch(
                e ->
                    e instanceof Effect.Respond r
                        && r.answer() instanceof Answer.Failure f
                        && f.status() == 503));
    bench.effects.removeIf(e -> e instanceof Effect.Respond);

    bench.sink.replied(latestWatch().callId(), new Reply.Changed(List.of(), term));
    assertEquals(term, bench.replica.revision());
    leaderTerm.tick(bench.now);
    leaderTerm.heartbeatReceived(8, heartbeat, false, bench.now);
    assertTrue(
        bench.effects.stream().noneMatch(e -> e instanceof Effect.Respond),
        "the heartbeat is answered in the next pass");
  }
}
