package org.eiderstair.core.jobs;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.state.Replica;

/**
 * Sends the leader the cancellations that this node has committed, beside the state service, which
 * may refuse the leader alone. The user's answer never waits for it. It is an optimization and
 * proves nothing: that no cancellation arrived means nothing, so it moves no bound of a leader; and
 * to stop a task because its job's key has a newer version is right, whoever says so.
 */
public final class CancellationBroadcast {
  /**
   * More than any leader can miss for as long as it may answer; what is beyond waits for the watch.
   */
  private static final int MAX_PENDING = 1_000;

  private static final int MAX_BATCH = 200;

  private final String node;
  private final EffectSink sink;
  private final List<Cancellation> pending = new ArrayList<>();

  /** One message at a time: cancellations come in bursts. */
  private boolean sending;

  /**
   * The last leader that this node knew: the key may be deleted while that leader still answers its
   * workers. Null before the first one.
   */
  private String leader;

  public CancellationBroadcast(String node, EffectSink sink) {
    this.node = node;
    this.sink = sink;
  }

  /** The leader has changed; null when it is not known. */
  public void leaderChanged(Replica.Leader known) {
    if (known != null && !known.node().equals(leader)) {
      leader = known.node();
      pending.clear();
    }
  }

  /** This node committed a cancellation. */
  public void committed(Cancellation cancellation) {
    if (leader != null && !leader.equals(node) && pending.size() < MAX_PENDING) {
      pending.add(cancellation);
      send();
    }
  }

  private void send() {
    if (sending || pending.isEmpty()) {
      return;
    }
    List<Cancellation> next = pending.subList(0, Math.min(MAX_BATCH, pending.size()));
    List<Cancellation> batch = List.copyOf(next);
    next.clear();
    sending = true;
    sink.call(
        new Request.PeerCancellations(leader, batch),
        reply -> {
          sending = false;
          send();
        });
  }
}
