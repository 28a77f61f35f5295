package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Order;

/** What a node says to a user, a worker or a health check. */
public sealed interface Answer {

  /** A job as its user sees it. */
  record JobView(int status, String id, Phase phase, int done, int running) implements Answer {}

  /** Where a job stands; the last two are final. */
  enum Phase {
    PENDING,
    RUNNING,
    DONE,
    CANCELLED
  }

  /** An error the user can act on; retryAfterS of 0 means none is given. */
  record Failure(int status, String reason, int retryAfterS) implements Answer {}

  /** To a worker: stay here, and do this. */
  record Command(FencingToken fencingToken, List<Order> orders) implements Answer {}

  /** To a worker: report elsewhere; null when this node knows no better place. */
  record Redirect(String node) implements Answer {}

  /**
   * To a peer: whether the state service serves this node, and whom it follows (null: nobody it
   * knows of).
   */
  record StateServiceStatus(boolean served, String leader, long term) implements Answer {}

  /** To a peer: which machines this node hears by itself. */
  record ReachableWorkers(HeartbeatDigest digest) implements Answer {}

  /** To a leader: how far its picture is here. */
  record ReplicationAck(ReplicationBatch.Ack ack) implements Answer {}

  /** To a peer: what it told is known here now. */
  record Acknowledged() implements Answer {}

  /** To the load balancer: whether this node takes requests. */
  record Ready(boolean ready) implements Answer {}
}
