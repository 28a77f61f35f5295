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
 * Heartbeats that reach a node which does not lead: it notes which machines reach it, and redirects
 * or relays them to the leader.
 */
final class FollowerHeartbeats {
  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final StateServiceHealth stateServiceHealth;
  private final Membership membership;
  private final HeartbeatRelay relay;

  FollowerHeartbeats(
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

  void received(Event.HeartbeatReceived event, long nowMicros) {
    if (event.relayed()) {
      // The peer takes this node for the leader. It is not, and a heartbeat is relayed only once.
      sink.respond(event.exchange(), new Answer.Redirect(null));
      return;
    }
    membership.heartbeatReceived(event.heartbeat().machine(), nowMicros);
    String leader = leaderNode();
    String target = settings.node().equals(leader) ? null : leader;
    relay.receive(event.exchange(), event.heartbeat(), target, nowMicros);
  }

  /** Null when no leader is known. */
  private String leaderNode() {
    Replica.Leader leader = replica.leader();
    // While the state service refuses this node alone, its own replica of the leader key is old.
    return stateServiceHealth
        .newerLeader(leader == null ? 0 : leader.term())
        .map(StateServiceHealth.PeerLeader::node)
        .orElse(leader == null ? null : leader.node());
  }
}
