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
  private final LeaderFixture leader = new LeaderFixture();

  private Effect.Call latestWatch() {
    return (Effect.Call)
        leader.effects.stream()
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
    leader.load();
    leader.replica.tick(leader.now);
    long term = leader.replica.revision() + 50;
    Membership membership = LeaderFixture.membershipWithoutPeers();
    LeaderTerm leaderTerm =
        new LeaderTerm(
            leader.settings,
            leader.sink,
            leader.replica,
            leader.leadership,
            membership,
            leader.standby,
            new OverloadMonitor(leader.settings, leader.sink),
            term,
            n -> 0);
    leaderTerm.tick(leader.now);
    Heartbeat heartbeat =
        new Heartbeat(
            "m", "x", "t", "a", false, 1, 1, FencingToken.NONE, Heartbeat.NO_NOTICE, List.of());
    leaderTerm.heartbeatReceived(7, heartbeat, false, leader.now);
    assertTrue(
        leader.effects.stream()
            .anyMatch(
                e ->
                    e instanceof Effect.Respond r
                        && r.answer() instanceof Answer.Failure f
                        && f.status() == 503));
    leader.effects.removeIf(e -> e instanceof Effect.Respond);

    leader.sink.replied(latestWatch().callId(), new Reply.Changed(List.of(), term));
    assertEquals(term, leader.replica.revision());
    leaderTerm.tick(leader.now);
    leaderTerm.heartbeatReceived(8, heartbeat, false, leader.now);
    assertTrue(
        leader.effects.stream().noneMatch(e -> e instanceof Effect.Respond),
        "the heartbeat is answered in the next pass");
  }
}
