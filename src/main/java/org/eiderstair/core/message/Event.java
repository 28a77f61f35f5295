package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.JobSpec;

/** What happens to the core. */
public sealed interface Event {

  /** Time passes. */
  record Tick() implements Event {}

  /** The outcome of an earlier request. */
  record ReplyReceived(long call, Reply reply) implements Event {}

  /**
   * A user submits; {@code spec} is null and {@code fault} set when the body is malformed but its
   * id is not.
   */
  record Submit(long exchange, String id, JobSpec spec, String fault) implements Event {}

  /** A user asks for the state of a job. */
  record Poll(long exchange, String id) implements Event {}

  /** A user cancels a job. */
  record Cancel(long exchange, String id) implements Event {}

  /** A peer asks whether the state service serves this node. */
  record StateServiceStatusRequested(long exchange) implements Event {}

  /**
   * A peer asks which machines this node hears, as changes after what a run of this node has told
   * it already.
   */
  record MembershipRequested(long exchange, String run, long after) implements Event {}

  /** A leader tells what changed in its picture. */
  record ReplicationReceived(long exchange, ReplicationBatch batch) implements Event {}

  /** A peer tells of cancellations that it has committed. */
  record CancellationsReceived(long exchange, List<Cancellation> cancellations) implements Event {}

  /** The load balancer asks whether this node takes requests. */
  record ReadyProbe(long exchange) implements Event {}

  /** A worker reports; {@code relayed} when it came through another node. */
  record HeartbeatReceived(long exchange, Heartbeat report, boolean relayed) implements Event {}
}
