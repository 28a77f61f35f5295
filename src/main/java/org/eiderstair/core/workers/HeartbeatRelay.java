package org.eiderstair.core.workers;

import java.util.HashMap;
import java.util.Map;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Heartbeat;

/**
 * Handles heartbeats on a follower. The follower redirects workers to the leader. A worker that
 * returns early could not reach the leader, so its heartbeats and the leader's answers are relayed
 * for a while. A follower never creates an answer itself, since only the leader may renew a lease.
 */
public final class HeartbeatRelay {
  /** A worker that returns within this time after its redirect did not reach the leader. */
  private static final long EARLY_RETURN_MICROS = 12_000_000;

  /** How long heartbeats are relayed after an early return. */
  private static final long RELAY_MICROS = 20_000_000;

  private static final long FAILED_RELAY_PAUSE_MICROS = 2_000_000;
  private static final long ROUTE_RETENTION_MICROS = 120_000_000;

  /**
   * The number of early returns from one leader after which it counts as unreachable. Fewer may be
   * a coincidence.
   */
  private static final int UNREACHABLE_EARLY_RETURNS = 3;

  private static final long EARLY_RETURN_WINDOW_MICROS = 10_000_000;

  /** The way in which a worker's heartbeats are handled. */
  private enum RouteKind {
    /** The worker is told to send its heartbeats to the leader. */
    REDIRECTED,
    /** This node relays the heartbeats to the leader, for {@link #RELAY_MICROS}. */
    RELAYED
  }

  /** The reachability of the leader, judged by the workers that contact this node. */
  private enum LeaderState {
    /** Workers are redirected to the leader. */
    REACHABLE,
    /** Several workers did not reach the leader, so all heartbeats are relayed for a while. */
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
  private long earlyReturnWindowStartMicros;
  private long unreachableUntilMicros;

  public HeartbeatRelay(EffectSink sink) {
    this.sink = sink;
  }

  /**
   * Redirects a worker to the leader, or relays its heartbeat.
   *
   * @param exchange the exchange that the heartbeat is answered on
   * @param leader the name of the leader's node, or null if no leader is known
   */
  public void receive(long exchange, Heartbeat heartbeat, String leader, long nowMicros) {
    if (leader == null) {
      sink.respond(exchange, new Answer.Redirect(null));
      return;
    }
    Route route = chooseRoute(heartbeat.machine(), leader, nowMicros);
    storeRoute(heartbeat.machine(), route, nowMicros);
    if (route.kind() == RouteKind.REDIRECTED) {
      sink.respond(exchange, new Answer.Redirect(leader));
    } else if (nowMicros < relayFailedUntilMicros) {
      sink.respond(exchange, new Answer.Redirect(null));
    } else {
      relay(exchange, heartbeat, leader, nowMicros);
    }
  }

  private void storeRoute(String machine, Route route, long nowMicros) {
    routes.put(machine, route);
    // Iterates over all routes, one per machine and thus up to thousands: not on each heartbeat.
    if (nowMicros >= nextCleanupMicros) {
      nextCleanupMicros = nowMicros + ROUTE_RETENTION_MICROS;
      routes.values().removeIf(known -> nowMicros > known.sinceMicros() + ROUTE_RETENTION_MICROS);
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
          // After a leader crash every worker returns to the followers. One failed relay suffices;
          // further attempts would only delay the redirects.
          relayFailedUntilMicros = nowMicros + FAILED_RELAY_PAUSE_MICROS;
          sink.respond(exchange, new Answer.Redirect(null));
        });
  }

  private Route chooseRoute(String machine, String leader, long nowMicros) {
    Route last = routes.get(machine);
    if (last != null && last.leader().equals(leader)) {
      long ageMicros = nowMicros - last.sinceMicros();
      if (last.kind() == RouteKind.RELAYED && ageMicros < RELAY_MICROS) {
        return last;
      }
      if (last.kind() == RouteKind.REDIRECTED && ageMicros < EARLY_RETURN_MICROS) {
        recordEarlyReturn(leader, nowMicros);
        sink.debug(
            "machine="
                + machine
                + " returned early from leader="
                + leader
                + "; relaying its heartbeats");
        return new Route(RouteKind.RELAYED, leader, nowMicros);
      }
    }
    RouteKind kind = isUnreachable(leader, nowMicros) ? RouteKind.RELAYED : RouteKind.REDIRECTED;
    return new Route(kind, leader, nowMicros);
  }

  /**
   * Counts a worker that did not reach the leader. After several early returns, other workers are
   * relayed without a redirect. Each failed attempt costs a worker its request timeout, and its
   * machine the work of that time.
   */
  private void recordEarlyReturn(String leader, long nowMicros) {
    if (!leader.equals(observedLeader)
        || nowMicros > earlyReturnWindowStartMicros + EARLY_RETURN_WINDOW_MICROS) {
      observedLeader = leader;
      earlyReturns = 0;
      earlyReturnWindowStartMicros = nowMicros;
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

  /** Changes the assumed state of the leader. All state changes go through this method. */
  private void changeLeaderState(LeaderState next) {
    if (next != leaderState) {
      leaderState = next;
      sink.info("leader=" + observedLeader + " is " + next + " for workers that contact this node");
    }
  }
}
