package org.eiderstair.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.settings.SettingsBuilder;

/**
 * Tests the recovery from an exception during the processing of an event. The leader's state may be
 * inconsistent afterwards, so the leader must resign.
 */
class CoreFailureTest {
  private static final long SECOND_MICROS = 1_000_000;
  private final Settings settings =
      SettingsBuilder.settings().peers("n1").team("red", 0, 0).build();
  private final List<Effect> effects = new ArrayList<>();
  private final Core core = new Core(settings, "run", 0, n -> 0, effects::add);
  private long now = SECOND_MICROS;

  /** Removes the first call with a request of the given type and returns its id. */
  private <T extends Request> long takeCall(Class<T> type) {
    for (Effect e : effects) {
      if (e instanceof Effect.Call call && type.isInstance(call.request())) {
        effects.remove(e);
        return call.callId();
      }
    }
    throw new AssertionError("no " + type.getSimpleName() + " in " + effects);
  }

  private void reply(Class<? extends Request> type, Reply reply) {
    core.handle(new Event.ReplyReceived(takeCall(type), reply), now);
  }

  private void becomeLeader() {
    core.handle(new Event.Tick(), now);
    reply(Request.StoreList.class, new Reply.Listed(List.of(), false, 5));
    core.handle(new Event.Tick(), now);
    reply(Request.LeaseGrant.class, new Reply.LeaseGranted(7));
    reply(Request.StoreTransaction.class, new Reply.Applied(6));
    reply(Request.StoreWatch.class, new Reply.Changed(List.of(), 6));
    core.handle(new Event.Tick(), now);
    assertTrue(core.isLeader());
  }

  /**
   * Returns a heartbeat whose list of tasks is null. The protocol never lets one through, so it
   * stands for any bug in the core.
   */
  private static Event malformedHeartbeat(long exchange) {
    return new Event.HeartbeatReceived(
        exchange,
        new Heartbeat("m", "x", "t", "a", true, 1, 1, FencingToken.NONE, -1, null),
        false);
  }

  @Example
  void aLeaderResignsAfterAnExceptionAndDelaysItsNextCampaign() {
    becomeLeader();
    core.handle(malformedHeartbeat(1), now);
    assertFalse(core.isLeader());
    takeCall(Request.LeaseRevoke.class);
    assertTrue(
        effects.stream()
            .anyMatch(
                e ->
                    e instanceof Effect.Log log
                        && log.level() == Effect.Level.ERROR
                        && log.text().contains("HeartbeatReceived")));
    reply(
        Request.StoreWatch.class,
        new Reply.Changed(List.of(new Reply.Item(StateKeys.LEADER, null, 9)), 9));
    now += 5 * SECOND_MICROS;
    core.handle(new Event.Tick(), now);
    assertTrue(
        effects.stream()
            .noneMatch(
                e -> e instanceof Effect.Call c && c.request() instanceof Request.LeaseGrant));
    now += 15 * SECOND_MICROS;
    core.handle(new Event.Tick(), now);
    takeCall(Request.LeaseGrant.class);
  }

  @Example
  void aFollowerContinuesAfterAnException() {
    core.handle(new Event.Tick(), now);
    core.handle(new Event.Submit(1, null), now);
    core.handle(new Event.ReadyProbe(2), now);
    assertEquals(
        1,
        effects.stream().filter(e -> e instanceof Effect.Respond r && r.exchange() == 2).count());
  }
}
