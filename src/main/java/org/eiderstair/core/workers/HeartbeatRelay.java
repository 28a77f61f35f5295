package org.eiderstair.core.workers;

import java.util.HashMap;
import java.util.Map;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Heartbeat;

/**
 * What a follower does with heartbeats. It redirects workers to the leader; one that returns early
 * could not reach the leader, so for a while its heartbeats are relayed, and so are the leader's
 * answers. A follower never makes an answer of its own: only the leader may renew a lease.
 */
public final class HeartbeatRelay {
  /** A worker that is here again within this time after its redirect did not reach the leader. */
  private static final long EARLY_RETURN_MICROS = 12_000_000;

  private static final long RELAY_MICROS = 20_000_000;
  private static final long FAILED_RELAY_PAUSE_MICROS = 2_000_000;
  private static final long FORGET_MICROS = 120_000_000;

  /** So many early returns from one leader are no coincidence. */
  private static final int UNREACHABLE_EARLY_RETURNS = 3;

  private static final long COUNTING_MICROS = 10_000_000;

  /** Where a worker's heartbeats go. RELAYED holds until its time is over. */
  private enum RouteKind {
    REDIRECTED,
    RELAYED
  }

  /**
   * Whether workers reach the leader, as far as those tell that come to this node; UNREACHABLE is
   * assumed for a while.
   */
  private enum LeaderState {
    REACHABLE,
    UNREACHABLE
  }

  private record Route(RouteKind kind, String leader, long sinceMicros) {}

  private final EffectSink sink;
  private final Map<String, Route> routes = new HashMap<>();
  private long nextCleanupMicros;
  private long relayFailedUntilMicros;
  private LeaderState leaderState = LeaderState.REACHABLE;
  private String observedLeader = "";
  private int earlyReturns;
  private long countingSinceMicros;
  private long unreachableUntilMicros;

  public HeartbeatRelay(EffectSink sink) {
    this.sink = sink;
  }

  /**
   * Redirects a worker to the leader, or relays its heartbeat.
   *
   * @param exchange where the answer goes
   * @param leader the leader's node; null if none is known
   */
  public void receive(long exchange, Heartbeat heartbeat, String leader, long nowMicros) {
    if (leader == null) {
      sink.respond(exchange, new Answer.Redirect(null));
      return;
    }
    Route route = nextRoute(heartbeat.machine(), leader, nowMicros);
    remember(heartbeat.machine(), route, nowMicros);
    if (route.kind() == RouteKind.REDIRECTED) {
      sink.respond(exchange, new Answer.Redirect(leader));
    } else if (nowMicros < relayFailedUntilMicros) {
      sink.respond(exchange, new Answer.Redirect(null));
    } else {
      relay(exchange, heartbeat, leader, nowMicros);
    }
  }

  private void remember(String machine, Route route, long nowMicros) {
    routes.put(machine, route);
    // Goes through thousands of routes where there are as many machines: not at each heartbeat.
    if (nowMicros >= nextCleanupMicros) {
      nextCleanupMicros = nowMicros + FORGET_MICROS;
      routes.values().removeIf(known -> nowMicros > known.sinceMicros() + FORGET_MICROS);
    }
  }

  private void relay(long exchange, Heartbeat heartbeat, String leader, long nowMicros) {
    sink.call(
        new Request.PeerRelayHeartbeat(leader, heartbeat),
        reply -> {
          if (reply instanceof Reply.Relayed relayed) {
            sink.respond(exchange, relayed.answer());
            return;
          }
          // When the leader has crashed, every worker comes here: one attempt tells, the others
          // would only cost time.
          relayFailedUntilMicros = nowMicros + FAILED_RELAY_PAUSE_MICROS;
          sink.respond(exchange, new Answer.Redirect(null));
        });
  }

  private Route nextRoute(String machine, String leader, long nowMicros) {
    Route last = routes.get(machine);
    if (last != null && last.leader().equals(leader)) {
      long ageMicros = nowMicros - last.sinceMicros();
      if (last.kind() == RouteKind.RELAYED && ageMicros < RELAY_MICROS) {
        return last;
      }
      if (last.kind() == RouteKind.REDIRECTED && ageMicros < EARLY_RETURN_MICROS) {
        recordEarlyReturn(leader, nowMicros);
        sink.debug("machine=" + machine + " is back early from leader=" + leader + ": relaying");
        return new Route(RouteKind.RELAYED, leader, nowMicros);
      }
    }
    RouteKind kind = isUnreachable(leader, nowMicros) ? RouteKind.RELAYED : RouteKind.REDIRECTED;
    return new Route(kind, leader, nowMicros);
  }

  /**
   * Counts a worker that did not reach the leader. When several have not, the others need not try
   * it first: each attempt costs a worker its time limit, and its machine the work of that time.
   */
  private void recordEarlyReturn(String leader, long nowMicros) {
    if (!leader.equals(observedLeader) || nowMicros > countingSinceMicros + COUNTING_MICROS) {
      observedLeader = leader;
      earlyReturns = 0;
      countingSinceMicros = nowMicros;
    }
    earlyReturns++;
    if (earlyReturns >= UNREACHABLE_EARLY_RETURNS) {
      unreachableUntilMicros = nowMicros + RELAY_MICROS;
      changeLeaderState(LeaderState.UNREACHABLE);
    }
  }

  private boolean isUnreachable(String leader, long nowMicros) {
    boolean expired = nowMicros > unreachableUntilMicros || !leader.equals(observedLeader);
    if (leaderState == LeaderState.UNREACHABLE && expired) {
      changeLeaderState(LeaderState.REACHABLE);
    }
    return leaderState == LeaderState.UNREACHABLE;
  }

  /** The one function for every change of what is assumed of the leader. */
  private void changeLeaderState(LeaderState next) {
    if (next != leaderState) {
      leaderState = next;
      sink.info("leader=" + observedLeader + " is " + next + " for workers that come here");
    }
  }
}
