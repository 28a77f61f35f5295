package org.eiderstair.core.jobs;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.state.Replica;

/**
 * Tells the leader of cancellations that this node has committed, beside the state service, which
 * may refuse the leader alone. The user's answer never waits for it. It is a help and no proof:
 * that nothing was told means nothing, so it moves no bound of {@link LeadershipBounds}; and to
 * stop a task for a job key's newer version is right, whoever tells of it.
 */
public final class CancellationBroadcast {
  /**
   * More than any leader can miss for as long as it may answer; what is beyond waits for the watch.
   */
  private static final int MAX_WAITING = 1_000;

  private static final int MAX_AT_ONCE = 200;

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

  public CancellationBroadcast(String node, EffectSink sink) {
    this.node = node;
    this.sink = sink;
  }

  /** The leader has changed, or is not known. */
  public void leader(Replica.Leader known) {
    if (known != null && !known.node().equals(leader)) {
      leader = known.node();
      waiting.clear();
    }
  }

  /** This node committed a cancellation. */
  public void committed(Cancellation cancellation) {
    if (leader != null && !leader.equals(node) && waiting.size() < MAX_WAITING) {
      waiting.add(cancellation);
      tell();
    }
  }

  private void tell() {
    if (state == State.TELLING || waiting.isEmpty()) {
      return;
    }
    List<Cancellation> some =
        List.copyOf(waiting.subList(0, Math.min(MAX_AT_ONCE, waiting.size())));
    waiting.subList(0, some.size()).clear();
    state = State.TELLING;
    sink.call(
        new Request.PeerCancellations(leader, some),
        reply -> {
          state = State.IDLE;
          tell();
        });
  }
}
