package org.eiderstair.core;

import java.util.ArrayList;
import java.util.List;

/**
 * Tells the leader of cancellations that this node has committed, beside the state service, which
 * may refuse the leader alone. The user's answer never waits for it. It is a help and no proof:
 * that nothing was told means nothing, so it moves no bound of {@link LeadershipBounds}; and to
 * stop a task for a job key's newer version is right, whoever tells of it.
 */
final class CancellationBroadcast {
  /**
   * More than any leader can miss for as long as it may answer; what is beyond waits for the watch.
   */
  private static final int MOST_WAITING = 1_000;

  private static final int MOST_AT_ONCE = 200;

  /** One message at a time: cancellations come in bursts. */
  private enum State {
    IDLE,
    TELLING
  }

  private final String node;
  private final EffectSink sink;
  private State state = State.IDLE;
  private final List<Cancellation> waiting = new ArrayList<>();

  /**
   * The last leader that this node knew: the key may be gone while that leader still answers its
   * workers.
   */
  private String leader;

  CancellationBroadcast(String node, EffectSink sink) {
    this.node = node;
    this.sink = sink;
  }

  void leader(Replica.Leader known) {
    if (known != null && !known.node().equals(leader)) {
      leader = known.node();
      waiting.clear();
    }
  }

  void committed(Cancellation cancellation) {
    if (leader != null && !leader.equals(node) && waiting.size() < MOST_WAITING) {
      waiting.add(cancellation);
      tell();
    }
  }

  private void tell() {
    if (state == State.TELLING || waiting.isEmpty()) {
      return;
    }
    List<Cancellation> some =
        List.copyOf(waiting.subList(0, Math.min(MOST_AT_ONCE, waiting.size())));
    waiting.subList(0, some.size()).clear();
    state = State.TELLING;
    sink.call(
        new Request.PeerCancelled(leader, some),
        reply -> {
          state = State.IDLE;
          tell();
        });
  }
}
