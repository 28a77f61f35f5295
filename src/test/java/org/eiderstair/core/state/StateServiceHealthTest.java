package org.eiderstair.core.state;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.settings.SettingsBuilder;

/** Tests that a refusal of this node alone is distinguished from an outage for all nodes. */
class StateServiceHealthTest {
  private static final long SECOND = 1_000_000;
  private final Settings settings = SettingsBuilder.settings().peers("n1", "n2").build();
  private long now;
  private final List<Effect.Call> calls = new ArrayList<>();
  private final EffectSink sink =
      new EffectSink(
          e -> {
            if (e instanceof Effect.Call call) {
              calls.add(call);
            }
          });
  private final StateServiceHealth health =
      new StateServiceHealth(settings, sink, new Replica(settings, sink, null, 0));

  private void advance(long seconds, Reply stateServiceReply, Reply peerReply) {
    sink.observeReplies(health::replyReceived);
    for (long end = now + seconds * SECOND; now < end; ) {
      now += SECOND;
      health.tick(now);
      List<Effect.Call> made = List.copyOf(calls);
      calls.clear();
      made.forEach(
          c ->
              sink.replied(
                  c.callId(),
                  c.request() instanceof Request.PeerStateServiceStatus
                      ? peerReply
                      : stateServiceReply));
    }
  }

  /**
   * Guards against a node that answers every user with 503 for a minute and reports itself ready.
   */
  @Example
  void aNodeThatAloneIsRefusedIsIsolatedOnceAServedPeerAnswers() {
    advance(6, new Reply.Refused(503), new Reply.PeerStateServiceStatus(true, "n2", 9));
    assertTrue(health.isIsolated());
    assertEquals(Optional.of(new StateServiceHealth.PeerLeader("n2", 9)), health.newerLeader(8));
    assertEquals(Optional.empty(), health.newerLeader(9));
    advance(1, new Reply.Absent(9), null);
    assertFalse(health.isIsolated());
  }

  /** In an outage no other node could do better, so every node keeps its role. */
  @Example
  void noNodeIsIsolatedInAnOutage() {
    advance(30, new Reply.Refused(503), new Reply.PeerStateServiceStatus(false, null, 0));
    assertFalse(health.isIsolated());
  }

  @Example
  void peersWithoutAnAnswerDoNotIsolateANode() {
    advance(30, new Reply.NoResponse("timeout"), new Reply.NoResponse("refused"));
    assertFalse(health.isIsolated());
  }
}
