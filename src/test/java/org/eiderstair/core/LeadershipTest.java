package org.eiderstair.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import net.jqwik.api.Example;

/** Who asks first when the leader's key is free. */
class LeadershipTest {
  private static final long SECOND = 1_000_000;
  private final Settings settings = new Settings("n0", List.of("n1"), List.of("a"),
      Map.of("red", new Settings.Team("red", 0, 0, 0, 0)), List.of(), 3 * SECOND, 20 * SECOND, 40 * SECOND, 100, 50, 16,
      5, Settings.Tuning.defaults());
  private final List<Effect.Call> calls = new ArrayList<>();
  private Core core = core();

  private Core core() {
    return new Core(settings, "run", 0, n -> n - 1, e -> {
      if (e instanceof Effect.Call call) {
        calls.add(call);
      }
    });
  }

  /** Takes the one call of that kind. */
  private <T extends Request> long taken(Class<T> kind) {
    for (Effect.Call call : calls) {
      if (kind.isInstance(call.request())) {
        calls.remove(call);
        return call.call();
      }
    }
    throw new AssertionError("no " + kind.getSimpleName() + " in " + calls);
  }

  private boolean stands() {
    return calls.stream().anyMatch(c -> c.request() instanceof Request.LeaseGrant);
  }

  private void loadedAt(long nowMicros, List<Reply.Item> items) {
    core.handle(new Event.Tick(), nowMicros);
    core.handle(new Event.Replied(taken(Request.StoreList.class), new Reply.Listed(items, false, 5)), nowMicros);
  }

  private static Reply.Item key(String node) {
    return new Reply.Item(Records.LEADER, Records.leader(node, 3, "other run"), 4);
  }

  private void dropped(long nowMicros) {
    core.handle(new Event.Replied(taken(Request.StoreWatch.class),
        new Reply.Changed(List.of(new Reply.Item(Records.LEADER, null, 9)), 9)), nowMicros);
  }

  @Example
  void aWarmControllerStandsAtOnceAndAColdOneSoon() {
    loadedAt(SECOND, List.of(key("n1")));
    assertFalse(stands());
    dropped(2 * SECOND);
    core.handle(new Event.Tick(), 2 * SECOND + 100_000);
    assertFalse(stands(), "a cold one lets a warm one go first");
    core.handle(new Event.Tick(), 2 * SECOND + 600_000);
    assertTrue(stands(), "alone, it leads soon");

    calls.clear();
    core = core();
    loadedAt(SECOND, List.of(key("n1")));
    dropped(60 * SECOND);
    assertTrue(stands() || standsAfterTick(60 * SECOND), "a warm one waits for nobody");
  }

  private boolean standsAfterTick(long nowMicros) {
    core.handle(new Event.Tick(), nowMicros);
    return stands();
  }

  /** No warm one has taken a key that was free already: all controllers are cold, and nobody is to be waited for. */
  @Example
  void whenAllAreColdNobodyWaits() {
    loadedAt(SECOND, List.of());
    core.handle(new Event.Tick(), SECOND + 1);
    assertEquals(true, stands());
  }
}
