package org.eiderstair.core.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;

/** Tests when a follower relays a heartbeat and when it redirects the worker to the leader. */
class HeartbeatRelayTest {
  private static final long SECOND_MICROS = 1_000_000;
  private final List<Effect> effects = new ArrayList<>();
  private final HeartbeatRelay relay = new HeartbeatRelay(new EffectSink(effects::add));
  private long exchange;

  /** Passes a heartbeat to the follower and returns "relayed" or "redirected". */
  private String receive(String machine, String leader, long nowMicros) {
    effects.clear();
    relay.receive(
        ++exchange,
        new Heartbeat(machine, "x", "t", "a", true, 1, 1, FencingToken.NONE, -1, List.of()),
        leader,
        nowMicros);
    Effect last = effects.get(effects.size() - 1);
    return last instanceof Effect.Call ? "relayed" : "redirected";
  }

  /**
   * A single early return may have a busy leader as its cause. Three early returns mean that the
   * leader is unreachable, so other workers are relayed at once.
   */
  @Example
  void severalEarlyReturnsRelayOtherWorkersWithoutRedirect() {
    for (int i = 0; i < 3; i++) {
      assertEquals("redirected", receive("m" + i, "n1", SECOND_MICROS));
    }
    assertEquals("relayed", receive("m0", "n1", 6 * SECOND_MICROS));
    assertEquals("redirected", receive("m7", "n1", 6 * SECOND_MICROS));
    assertEquals("relayed", receive("m1", "n1", 6 * SECOND_MICROS));
    assertEquals("relayed", receive("m2", "n1", 7 * SECOND_MICROS));
    assertEquals("relayed", receive("m8", "n1", 7 * SECOND_MICROS));
    assertEquals("redirected", receive("m9", "n2", 7 * SECOND_MICROS), "another leader");
    assertEquals(
        "redirected", receive("m9", "n1", 60 * SECOND_MICROS), "unreachable state has expired");
  }
}
