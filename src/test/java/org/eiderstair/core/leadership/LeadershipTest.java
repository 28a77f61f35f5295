package org.eiderstair.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.Core;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.LeaderRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.settings.SettingsBuilder;

/** Who campaigns first when the leader key is free, and what keeps a leader in its term. */
class LeadershipTest {
  private static final long SECOND = 1_000_000;
  private final Settings settings =
      SettingsBuilder.settings().peers("n1").team("red", 0, 0).build();
  private final List<Effect.Call> calls = new ArrayList<>();
  private final List<String> logs = new ArrayList<>();
  private Core core = core();

  private Core core() {
    return new Core(
        settings,
        "run",
        0,
        n -> n - 1,
        e -> {
          if (e instanceof Effect.Call call) {
            calls.add(call);
          } else if (e instanceof Effect.Log log) {
            logs.add(log.text());
          }
        });
  }

  /** Takes the one call of that kind. */
  private <T extends Request> long taken(Class<T> kind) {
    for (Effect.Call call : calls) {
      if (kind.isInstance(call.request())) {
        calls.remove(call);
        return call.callId();
      }
    }
    throw new AssertionError("no " + kind.getSimpleName() + " in " + calls);
  }

  private boolean campaigns() {
    return calls.stream().anyMatch(c -> c.request() instanceof Request.LeaseGrant);
  }

  private void loadedAt(long nowMicros, List<Reply.Item> items) {
    core.handle(new Event.Tick(), nowMicros);
    core.handle(
        new Event.ReplyReceived(taken(Request.StoreList.class), new Reply.Listed(items, false, 5)),
        nowMicros);
  }

  private static Reply.Item leaderKey(String node) {
    return new Reply.Item(StateKeys.LEADER, new LeaderRecord(node, 3, "other run"), 4);
  }

  private void leaderKeyDeleted(long nowMicros) {
    core.handle(
        new Event.ReplyReceived(
            taken(Request.StoreWatch.class),
            new Reply.Changed(List.of(new Reply.Item(StateKeys.LEADER, null, 9)), 9)),
        nowMicros);
  }

  @Example
  void aWarmControllerCampaignsAtOnceAndOneThatWarmsUpSoon() {
    loadedAt(SECOND, List.of(leaderKey("n1")));
    assertFalse(campaigns());
    leaderKeyDeleted(2 * SECOND);
    core.handle(new Event.Tick(), 2 * SECOND + 100_000);
    assertFalse(campaigns(), "one that warms up lets a warm one go first");
    core.handle(new Event.Tick(), 2 * SECOND + 600_000);
    assertTrue(campaigns(), "alone, it leads soon");

    calls.clear();
    core = core();
    loadedAt(SECOND, List.of(leaderKey("n1")));
    leaderKeyDeleted(60 * SECOND);
    assertTrue(campaigns() || campaignsAfterTick(60 * SECOND), "a warm one waits for nobody");
  }

  private boolean campaignsAfterTick(long nowMicros) {
    core.handle(new Event.Tick(), nowMicros);
    return campaigns();
  }

  private void replied(Class<? extends Request> kind, Reply reply, long nowMicros) {
    core.handle(new Event.ReplyReceived(taken(kind), reply), nowMicros);
  }

  private void elected(long watchSentMicros, long nowMicros) {
    loadedAt(watchSentMicros, List.of(leaderKey("n1")));
    leaderKeyDeleted(nowMicros);
    core.handle(new Event.Tick(), nowMicros + 1_000);
    replied(Request.LeaseGrant.class, new Reply.LeaseGranted(9), nowMicros + 2_000);
    replied(Request.StoreTransaction.class, new Reply.Applied(12), nowMicros + 3_000);
  }

  private String lastTransition() {
    return logs.stream().filter(l -> l.startsWith("leadership")).reduce((a, b) -> b).orElseThrow();
  }

  /**
   * A watch that stayed open through an outage brought the key's deletion: what it shows is as old
   * as its sending. The new leader must neither launch by it nor resign for it.
   */
  @Example
  void oneElectedAfterALongOutageWaitsForItsReplicaAndStaysLeader() {
    core = core();
    elected(20 * SECOND, 90 * SECOND);
    assertTrue(lastTransition().contains("CANDIDATE -> SYNCHRONIZING"), lastTransition());
    core.handle(new Event.Tick(), 90 * SECOND + 50_000);
    assertTrue(lastTransition().contains("CANDIDATE -> SYNCHRONIZING"), lastTransition());
    core.handle(new Event.Tick(), 90 * SECOND + 300_000);
    replied(Request.StoreWatch.class, new Reply.Changed(List.of(), 12), 90 * SECOND + 310_000);
    assertTrue(lastTransition().contains("SYNCHRONIZING -> LEADING"), lastTransition());
  }

  /**
   * Renewals succeed, and nothing shows that the replica is current: it stops launching, then
   * answering, and gives way.
   */
  @Example
  void renewalsAloneKeepNobodyLeading() {
    core = core();
    elected(60 * SECOND, 90 * SECOND);
    long now = 91 * SECOND;
    core.handle(new Event.Tick(), now);
    replied(Request.StoreWatch.class, new Reply.Changed(List.of(), 12), now);
    assertTrue(core.isLeader());
    long lastProofMicros = now;
    boolean revoked = false;
    while (core.isLeader() && now < 140 * SECOND) {
      now += 100_000;
      core.handle(new Event.Tick(), now);
      for (Effect.Call call : List.copyOf(calls)) {
        calls.remove(call);
        if (call.request() instanceof Request.LeaseRenew) {
          core.handle(new Event.ReplyReceived(call.callId(), new Reply.Applied(0)), now);
        }
        revoked |= call.request() instanceof Request.LeaseRevoke;
      }
    }
    assertTrue(
        logs.stream()
            .anyMatch(l -> l.contains("LEADING -> SUSPENDED") && l.contains("replica not shown")));
    assertTrue(revoked, "another may lead");
    // cancel_s 40, lease_s 20: with 3 s to end tasks and the clocks' drift.
    assertEquals(lastProofMicros + 17 * SECOND, now, 200_000.0);
  }

  /**
   * No warm one has taken a key that was free already: all controllers are warming up, and nobody
   * is to be waited for.
   */
  @Example
  void whenAllWarmUpNobodyWaits() {
    loadedAt(SECOND, List.of());
    core.handle(new Event.Tick(), SECOND + 1);
    assertEquals(true, campaigns());
  }
}
