package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Order;

/** What a node answers to a user, a worker, a peer or a health check. */
public sealed interface Answer {

  /**
   * To a user: a job.
   *
   * @param status of HTTP, which tells a new job from one that was known
   * @param done how many of its tasks are done
   * @param running how many of its tasks are running
   */
  record JobView(int status, String id, Phase phase, int done, int running) implements Answer {}

  /** The state of a job; the last two are final. */
  enum Phase {
    PENDING,
    RUNNING,
    DONE,
    CANCELLED
  }

  /**
   * An error that the sender can act on.
   *
   * @param status of HTTP
   * @param retryAfterS when to retry; 0 when the request need not be retried, or at any time
   */
  record Failure(int status, String reason, int retryAfterS) implements Answer {}

  /** To a worker: its lease is renewed, and these are its orders. */
  record Command(FencingToken fencingToken, List<Order> orders) implements Answer {}

  /** To a worker: send heartbeats to another node; null when this node knows of no leader. */
  record Redirect(String node) implements Answer {}

  /**
   * To a peer: whether the state service serves this node, and which leader it follows (null: none
   * known).
   */
  record StateServiceStatus(boolean served, String leader, long term) implements Answer {}

  /** To a peer: which machines reach this node directly. */
  record ReachableWorkers(HeartbeatDigest digest) implements Answer {}

  /** To a leader: how far this node has its state. */
  record ReplicationAck(ReplicationBatch.Ack ack) implements Answer {}

  /** To a peer: what it sent is applied here. */
  record Acknowledged() implements Answer {}

  /** To the load balancer: whether this node takes requests. */
  record Ready(boolean ready) implements Answer {}
}
