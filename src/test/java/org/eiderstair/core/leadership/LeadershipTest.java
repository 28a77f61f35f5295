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

/** Tests which node campaigns first for a free leader key, and how long a leader stays leader. */
class LeadershipTest {
  private static final long SECOND_MICROS = 1_000_000;
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

  /** Removes the first call with a request of the given type and returns its id. */
  private <T extends Request> long takeCall(Class<T> type) {
    for (Effect.Call call : calls) {
      if (type.isInstance(call.request())) {
        calls.remove(call);
        return call.callId();
      }
    }
    throw new AssertionError("no " + type.getSimpleName() + " in " + calls);
  }

  private boolean hasCampaigned() {
    return calls.stream().anyMatch(c -> c.request() instanceof Request.LeaseGrant);
  }

  private void loadReplica(long nowMicros, List<Reply.Item> items) {
    core.handle(new Event.Tick(), nowMicros);
    core.handle(
        new Event.ReplyReceived(
            takeCall(Request.StoreList.class), new Reply.Listed(items, false, 5)),
        nowMicros);
  }

  private static Reply.Item leaderKey(String node) {
    return new Reply.Item(StateKeys.LEADER, new LeaderRecord(node, 3, "other run"), 4);
  }

  private void deleteLeaderKey(long nowMicros) {
    core.handle(
        new Event.ReplyReceived(
            takeCall(Request.StoreWatch.class),
            new Reply.Changed(List.of(new Reply.Item(StateKeys.LEADER, null, 9)), 9)),
        nowMicros);
  }

  @Example
  void aWarmControllerCampaignsImmediatelyAndOneThatWarmsUpCampaignsLater() {
    loadReplica(SECOND_MICROS, List.of(leaderKey("n1")));
    assertFalse(hasCampaigned());
    deleteLeaderKey(2 * SECOND_MICROS);
    core.handle(new Event.Tick(), 2 * SECOND_MICROS + 100_000);
    assertFalse(hasCampaigned(), "a controller that warms up yields to warm ones");
    core.handle(new Event.Tick(), 2 * SECOND_MICROS + 600_000);
    assertTrue(hasCampaigned(), "a controller without competitors campaigns after the delay");

    calls.clear();
    core = core();
    loadReplica(SECOND_MICROS, List.of(leaderKey("n1")));
    deleteLeaderKey(60 * SECOND_MICROS);
    assertTrue(
        hasCampaigned() || hasCampaignedAfterTick(60 * SECOND_MICROS),
        "a warm controller campaigns without delay");
  }

  private boolean hasCampaignedAfterTick(long nowMicros) {
    core.handle(new Event.Tick(), nowMicros);
    return hasCampaigned();
  }

  private void reply(Class<? extends Request> type, Reply reply, long nowMicros) {
    core.handle(new Event.ReplyReceived(takeCall(type), reply), nowMicros);
  }

  private void winElection(long watchSentMicros, long nowMicros) {
    loadReplica(watchSentMicros, List.of(leaderKey("n1")));
    deleteLeaderKey(nowMicros);
    core.handle(new Event.Tick(), nowMicros + 1_000);
    reply(Request.LeaseGrant.class, new Reply.LeaseGranted(9), nowMicros + 2_000);
    reply(Request.StoreTransaction.class, new Reply.Applied(12), nowMicros + 3_000);
  }

  private String lastTransition() {
    return logs.stream().filter(l -> l.startsWith("leadership")).reduce((a, b) -> b).orElseThrow();
  }

  /**
   * Guards against a leader that trusts an old watch after a long outage. The watch was sent before
   * the outage and reported the key's deletion after it, so it only shows the replica to be current
   * as of its sending. The new leader must neither launch tasks nor step down because of it.
   */
  @Example
  void aLeaderElectedAfterALongOutageWaitsForACurrentReplica() {
    core = core();
    winElection(20 * SECOND_MICROS, 90 * SECOND_MICROS);
    assertTrue(lastTransition().contains("CANDIDATE -> SYNCHRONIZING"), lastTransition());
    core.handle(new Event.Tick(), 90 * SECOND_MICROS + 50_000);
    assertTrue(lastTransition().contains("CANDIDATE -> SYNCHRONIZING"), lastTransition());
    core.handle(new Event.Tick(), 90 * SECOND_MICROS + 300_000);
    reply(Request.StoreWatch.class, new Reply.Changed(List.of(), 12), 90 * SECOND_MICROS + 310_000);
    assertTrue(lastTransition().contains("SYNCHRONIZING -> LEADING"), lastTransition());
  }

  /**
   * Guards against a leader that stays leader through lease renewals alone. The renewals succeed,
   * but nothing shows that the replica is current. The leader must first stop launching tasks, then
   * stop answering heartbeats and step down.
   */
  @Example
  void aLeaderWithoutACurrentReplicaStepsDownThoughItsLeaseIsRenewed() {
    core = core();
    winElection(60 * SECOND_MICROS, 90 * SECOND_MICROS);
    long now = 91 * SECOND_MICROS;
    core.handle(new Event.Tick(), now);
    reply(Request.StoreWatch.class, new Reply.Changed(List.of(), 12), now);
    assertTrue(core.isLeader());
    long replicaCurrentMicros = now;
    boolean revoked = false;
    while (core.isLeader() && now < 140 * SECOND_MICROS) {
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
    assertTrue(revoked, "the lease is revoked, so that another node can lead");
    // cancel_s (40 s) minus lease_s (20 s) and 3 s to end tasks, less the clock drift.
    assertEquals(replicaCurrentMicros + 17 * SECOND_MICROS, now, 200_000.0);
  }

  /**
   * The leader key is already absent when the replica is loaded, and no warm controller has taken
   * it. All controllers are therefore warming up, and a delay would be pointless.
   */
  @Example
  void aControllerThatWarmsUpCampaignsImmediatelyIfTheKeyWasAlreadyAbsent() {
    loadReplica(SECOND_MICROS, List.of());
    core.handle(new Event.Tick(), SECOND_MICROS + 1);
    assertEquals(true, hasCampaigned());
  }
}
