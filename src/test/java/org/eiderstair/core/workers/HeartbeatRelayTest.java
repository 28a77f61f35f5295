package org.eiderstair.core.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;

/** When a follower relays a worker's heartbeat, and when it sends the worker to the leader. */
class HeartbeatRelayTest {
  private static final long SECOND = 1_000_000;
  private final List<Effect> effects = new ArrayList<>();
  private final HeartbeatRelay relay = new HeartbeatRelay(new EffectSink(effects::add));
  private long exchange;

  /** What becomes of a heartbeat: the name of the effect. */
  private String report(String machine, String leader, long nowMicros) {
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
   * One that is back may have met a busy leader; three have not, and the others need not try it
   * first.
   */
  @Example
  void whenSeveralAreBackFromTheLeaderTheOthersArePassedOnAtOnce() {
    for (int i = 0; i < 3; i++) {
      assertEquals("redirected", report("m" + i, "n1", SECOND));
    }
    assertEquals("relayed", report("m0", "n1", 6 * SECOND));
    assertEquals("redirected", report("m7", "n1", 6 * SECOND));
    assertEquals("relayed", report("m1", "n1", 6 * SECOND));
    assertEquals("relayed", report("m2", "n1", 7 * SECOND));
    assertEquals("relayed", report("m8", "n1", 7 * SECOND));
    assertEquals("redirected", report("m9", "n2", 7 * SECOND), "another leader");
    assertEquals("redirected", report("m9", "n1", 60 * SECOND), "believed for a while");
  }
}
