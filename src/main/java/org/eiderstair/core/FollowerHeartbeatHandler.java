package org.eiderstair.core;

import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateServiceHealth;
import org.eiderstair.core.workers.HeartbeatRelay;

/**
 * Handles the heartbeats that a node receives while it does not lead. The handler records which
 * machines reach this node, and redirects or relays their heartbeats to the leader.
 */
final class FollowerHeartbeatHandler {
  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final StateServiceHealth stateServiceHealth;
  private final Membership membership;
  private final HeartbeatRelay relay;

  FollowerHeartbeatHandler(
      Settings settings,
      EffectSink sink,
      Replica replica,
      StateServiceHealth stateServiceHealth,
      Membership membership) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.stateServiceHealth = stateServiceHealth;
    this.membership = membership;
    this.relay = new HeartbeatRelay(sink);
  }

  /** Answers the heartbeat with a redirect, or relays it to the leader. */
  void handle(Event.HeartbeatReceived event, long nowMicros) {
    if (event.relayed()) {
      // The peer wrongly assumes that this node leads. A heartbeat is relayed only once.
      sink.respond(event.exchange(), new Answer.Redirect(null));
      return;
    }
    membership.heartbeatReceived(event.heartbeat().machine(), nowMicros);
    String leader = leaderNode();
    String target = settings.node().equals(leader) ? null : leader;
    relay.receive(event.exchange(), event.heartbeat(), target, nowMicros);
  }

  /** Returns the name of the leader's node, or null if no leader is known. */
  private String leaderNode() {
    Replica.Leader leader = replica.leader();
    // If the state service refuses only this node, the leader key in this node's replica may be
    // outdated.
    return stateServiceHealth
        .newerLeader(leader == null ? 0 : leader.term())
        .map(StateServiceHealth.PeerLeader::node)
        .orElse(leader == null ? null : leader.node());
  }
}
