package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Heartbeat;

/**
 * An input to the core: a request from a user, a worker or a peer, a reply, or the passage of time.
 * The {@code exchange} of an event identifies the request that {@link Effect.Respond} answers.
 */
public sealed interface Event {

  /** Calls the handler method for this type of event. */
  void dispatchTo(Handler handler);

  /** Has one method for each event type, so a new type does not compile until it is handled. */
  interface Handler {
    /** Handles the passage of time. */
    void tick();

    /** Continues the work that waits for the reply. */
    void replyReceived(ReplyReceived event);

    /** Accepts or refuses a submitted job. */
    void submit(Submit event);

    /** Answers with the state of a job. */
    void poll(Poll event);

    /** Cancels a job. */
    void cancel(Cancel event);

    /** Tells a peer whether the state service serves this node. */
    void stateServiceStatusRequested(StateServiceStatusRequested event);

    /** Tells a peer which machines reach this node. */
    void membershipRequested(MembershipRequested event);

    /** Applies a part of the leader's state, as the leader's standby. */
    void replicationReceived(ReplicationReceived event);

    /** Applies cancellations that a peer has committed. */
    void cancellationsReceived(CancellationsReceived event);

    /** Answers whether this node accepts requests. */
    void readyProbe(ReadyProbe event);

    /** Records that heartbeats may be missing because this node is overloaded. */
    void overloaded(Overloaded event);

    /** Answers, redirects or relays a worker's heartbeat. */
    void heartbeatReceived(HeartbeatReceived event);
  }

  /** Time passes. */
  record Tick() implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.tick();
    }
  }

  /** The outcome of an earlier request. */
  record ReplyReceived(long callId, Reply reply) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.replyReceived(this);
    }
  }

  /** A user submits a job. */
  record Submit(long exchange, Submission submission) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.submit(this);
    }
  }

  /** A user asks for the state of a job. */
  record Poll(long exchange, String id) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.poll(this);
    }
  }

  /** A user cancels a job. */
  record Cancel(long exchange, String id) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.cancel(this);
    }
  }

  /** A peer asks whether the state service serves this node. */
  record StateServiceStatusRequested(long exchange) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.stateServiceStatusRequested(this);
    }
  }

  /**
   * A peer asks which machines reach this node.
   *
   * @param runId the run of this node to which the sequence number belongs
   * @param afterSequence the sequence number after which the peer needs changes
   */
  record MembershipRequested(long exchange, String runId, long afterSequence) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.membershipRequested(this);
    }
  }

  /** A leader replicates changes of its state to this node. */
  record ReplicationReceived(long exchange, ReplicationBatch batch) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.replicationReceived(this);
    }
  }

  /** A peer sends cancellations that it has committed. */
  record CancellationsReceived(long exchange, List<Cancellation> cancellations) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.cancellationsReceived(this);
    }
  }

  /** The load balancer asks whether this node accepts requests. */
  record ReadyProbe(long exchange) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.readyProbe(this);
    }
  }

  /**
   * This node is overloaded: it refused connections, or events have waited too long.
   *
   * @param refusedConnections the connections refused for lack of a socket since the last such
   *     event
   * @param waitingEvents the number of waiting events; 0 if events did not wait too long
   */
  record Overloaded(int refusedConnections, int waitingEvents) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.overloaded(this);
    }
  }

  /** A worker sends a heartbeat; {@code relayed} if another node forwarded the heartbeat. */
  record HeartbeatReceived(long exchange, Heartbeat heartbeat, boolean relayed) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.heartbeatReceived(this);
    }
  }
}
