package org.eiderstair.core.jobs;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.state.Replica;

/**
 * Sends the cancellations that this node has committed directly to the leader. The state service
 * may be unavailable to the leader alone, which then does not see them in its watch. The answer to
 * the user never waits for this message.
 *
 * <p>The message is an optimization. The absence of a message proves nothing, so it does not change
 * any time bound of the leader. The leader may stop a task as soon as the job's key has a newer
 * version, whichever node reports that version.
 */
public final class CancellationForwarder {
  /**
   * More cancellations than a leader can miss while it may still answer its workers. The leader
   * gets further ones from its watch.
   */
  private static final int MAX_PENDING_CANCELLATIONS = 1_000;

  private static final int MAX_BATCH_SIZE = 200;

  private final String node;
  private final EffectSink sink;
  private final List<Cancellation> pending = new ArrayList<>();

  /** Only one message is in flight at a time, since cancellations come in bursts. */
  private boolean requestInFlight;

  /**
   * The node of the last known leader; null before the first one. The value outlives the leader
   * key, since that leader may still answer its workers after the key is deleted.
   */
  private String leader;

  public CancellationForwarder(String node, EffectSink sink) {
    this.node = node;
    this.sink = sink;
  }

  /**
   * Records the current leader. A new leader discards the pending cancellations.
   *
   * @param known null if no leader is known
   */
  public void leaderChanged(Replica.Leader known) {
    if (known != null && !known.node().equals(leader)) {
      leader = known.node();
      pending.clear();
    }
  }

  /** Queues a cancellation that this node has committed, unless this node is the leader. */
  public void committed(Cancellation cancellation) {
    if (leader != null && !leader.equals(node) && pending.size() < MAX_PENDING_CANCELLATIONS) {
      pending.add(cancellation);
      send();
    }
  }

  private void send() {
    if (requestInFlight || pending.isEmpty()) {
      return;
    }
    List<Cancellation> next = pending.subList(0, Math.min(MAX_BATCH_SIZE, pending.size()));
    List<Cancellation> batch = List.copyOf(next);
    next.clear();
    requestInFlight = true;
    sink.call(
        new Request.PeerCancellations(leader, batch),
        reply -> {
          requestInFlight = false;
          send();
        });
  }
}
