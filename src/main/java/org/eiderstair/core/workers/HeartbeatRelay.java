package org.eiderstair.core.workers;

import java.util.HashMap;
import java.util.Map;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Heartbeat;

/**
 * A follower's dealings with workers. It sends them to the leader; one that is soon back could not
 * reach the leader, so for a while its reports are passed on, and what the leader answers is passed
 * back. A follower never makes an answer of its own: only the leader may renew a lease.
 */
public final class HeartbeatRelay {
  private static final long BACK_SOON_MICROS = 12_000_000;
  private static final long RELAY_MICROS = 20_000_000;
  private static final long UNREACHED_MICROS = 2_000_000;
  private static final long FORGET_MICROS = 120_000_000;

  /** So many workers that soon came back from one leader are no chance. */
  private static final int MANY_BACK = 3;

  private static final long COUNTED_MICROS = 10_000_000;

  /** REDIRECTED was sent to the leader; RELAYED is passed on until its time is over. */
  private enum State {
    REDIRECTED,
    RELAYED
  }

  /**
   * Whether workers here reach the leader, as far as this node can tell; OUT_OF_REACH is believed
   * for a while.
   */
  private enum Reach {
    REACHED,
    OUT_OF_REACH
  }

  private record Visitor(State state, String leader, long sinceMicros) {}

  private final EffectSink sink;
  private long unreachedUntilMicros;
  private final Map<String, Visitor> visitors = new HashMap<>();
  private Reach reach = Reach.REACHED;
  private String judged = "";
  private int back;
  private long countedSinceMicros;
  private long believedUntilMicros;

  public HeartbeatRelay(EffectSink sink) {
    this.sink = sink;
  }

  /** A worker's heartbeat: redirects the worker to the leader, or relays it. */
  public void reported(long exchange, Heartbeat report, String leader, long nowMicros) {
    if (leader == null) {
      sink.respond(exchange, new Answer.Redirect(null));
      return;
    }
    Visitor next = next(report.machine(), leader, nowMicros);
    visitors.put(report.machine(), next);
    if (visitors.size() > 1000) {
      visitors.values().removeIf(v -> nowMicros > v.sinceMicros() + FORGET_MICROS);
    }
    if (next.state() == State.REDIRECTED) {
      sink.respond(exchange, new Answer.Redirect(leader));
      return;
    }
    if (nowMicros < unreachedUntilMicros) {
      sink.respond(exchange, new Answer.Redirect(null));
      return;
    }
    sink.call(
        new Request.PeerRelay(leader, report),
        reply -> {
          if (reply instanceof Reply.Relayed relayed) {
            sink.respond(exchange, relayed.answer());
            return;
          }
          // When the leader has crashed, every worker comes here: one try tells, the rest would
          // only cost time.
          unreachedUntilMicros = nowMicros + UNREACHED_MICROS;
          sink.respond(exchange, new Answer.Redirect(null));
        });
  }

  /**
   * A worker came back soon from the leader. When several have, the others need not try it first:
   * each try costs one its time limit, and its machine the work of that time.
   */
  private void cameBack(String leader, long nowMicros) {
    if (!leader.equals(judged) || nowMicros > countedSinceMicros + COUNTED_MICROS) {
      judged = leader;
      back = 0;
      countedSinceMicros = nowMicros;
    }
    if (++back >= MANY_BACK) {
      believedUntilMicros = nowMicros + RELAY_MICROS;
      become(Reach.OUT_OF_REACH);
    }
  }

  /** The one function for every change of what is believed of the leader. */
  private void become(Reach next) {
    if (next != reach) {
      reach = next;
      sink.info("workers here: leader " + judged + " is " + next);
    }
  }

  private boolean outOfReach(String leader, long nowMicros) {
    if (reach == Reach.OUT_OF_REACH
        && (!leader.equals(judged) || nowMicros > believedUntilMicros)) {
      become(Reach.REACHED);
    }
    return reach == Reach.OUT_OF_REACH;
  }

  private Visitor next(String machine, String leader, long nowMicros) {
    Visitor last = visitors.get(machine);
    boolean same = last != null && last.leader().equals(leader);
    if (same && last.state() == State.RELAYED && nowMicros < last.sinceMicros() + RELAY_MICROS) {
      return last;
    }
    if (same
        && last.state() == State.REDIRECTED
        && nowMicros < last.sinceMicros() + BACK_SOON_MICROS) {
      cameBack(leader, nowMicros);
      sink.debug("machine " + machine + " is back soon from " + leader + ": relaying its reports");
      return new Visitor(State.RELAYED, leader, nowMicros);
    }
    return new Visitor(
        outOfReach(leader, nowMicros) ? State.RELAYED : State.REDIRECTED, leader, nowMicros);
  }
}
