package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Order;

/** An answer of a node to a user, a worker, a peer or a health check. */
public sealed interface Answer {

  /**
   * To a user: the state of a job.
   *
   * @param status the HTTP status, which distinguishes a new job from a known one
   * @param id the id of the job
   * @param phase the phase of the job
   * @param done the number of completed tasks
   * @param running the number of running tasks
   */
  record JobView(int status, String id, Phase phase, int done, int running) implements Answer {}

  /** The phase of a job as shown to its user. */
  enum Phase {
    /** The job is open; no task is running according to the state service. */
    PENDING,
    /** The job is open; at least one task is running according to the state service. */
    RUNNING,
    /** All tasks are done; a final phase. */
    DONE,
    /** The job was cancelled; a final phase. */
    CANCELLED
  }

  /**
   * An error that the sender can act on.
   *
   * @param status the HTTP status
   * @param reason the reason, for the sender
   * @param retryAfterSeconds the delay before a retry; 0 if a retry is useless or may come any time
   */
  record Failure(int status, String reason, int retryAfterSeconds) implements Answer {}

  /** To a worker: renews the worker's lease and carries its orders. */
  record Command(FencingToken fencingToken, List<Order> orders) implements Answer {}

  /** To a worker: redirects heartbeats to another node; null if this node knows no leader. */
  record Redirect(String node) implements Answer {}

  /**
   * To a peer: whether the state service serves this node, and the leader that this node follows.
   *
   * @param served whether the state service serves this node
   * @param leader the name of the leader; null if none is known
   * @param term the term of the leader
   */
  record StateServiceStatus(boolean served, String leader, long term) implements Answer {}

  /** To a peer: the machines that send heartbeats to this node directly. */
  record ReachableWorkers(HeartbeatDigest digest) implements Answer {}

  /** To a leader: the extent to which this node holds the replicated state. */
  record ReplicationAck(ReplicationBatch.Ack ack) implements Answer {}

  /** To a peer: the data that the peer sent is applied. */
  record Acknowledged() implements Answer {}

  /** To the load balancer: whether this node accepts requests. */
  record Ready(boolean ready) implements Answer {}
}
