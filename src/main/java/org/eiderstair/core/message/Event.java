package org.eiderstair.core.message;

import java.util.List;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Heartbeat;

/** What happens to the core: a request of a user, a worker or a peer, a reply, or passing time. */
public sealed interface Event {

  /** Calls the handler's method for this type of event. */
  void dispatchTo(Handler handler);

  /** One method for each type of event: a new type does not compile until it is handled. */
  interface Handler {
    /** Time has passed. */
    void tick();

    /** Continues what waits for the reply. */
    void replyReceived(ReplyReceived event);

    /** Accepts or refuses a job. */
    void submit(Submit event);

    /** Answers with the state of a job. */
    void poll(Poll event);

    /** Cancels a job. */
    void cancel(Cancel event);

    /** Answers a peer whether the state service serves this node. */
    void stateServiceStatusRequested(StateServiceStatusRequested event);

    /** Answers a peer which machines reach this node. */
    void membershipRequested(MembershipRequested event);

    /** Takes a part of the leader's state as its standby. */
    void replicationReceived(ReplicationReceived event);

    /** Takes cancellations that a peer has committed. */
    void cancellationsReceived(CancellationsReceived event);

    /** Answers whether this node takes requests. */
    void readyProbe(ReadyProbe event);

    /** Notes that heartbeats may be missing because this node is overloaded. */
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
   * A peer asks which machines reach this node, as changes after a sequence number of one of this
   * node's runs.
   */
  record MembershipRequested(long exchange, String run, long after) implements Event {
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

  /** The load balancer asks whether this node takes requests. */
  record ReadyProbe(long exchange) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.readyProbe(this);
    }
  }

  /**
   * This node has more to do than it can: it refused connections for want of a socket since it said
   * so last, or so many events wait for longer than a moment.
   */
  record Overloaded(int refusedConnections, int waitingEvents) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.overloaded(this);
    }
  }

  /** A worker sends a heartbeat; {@code relayed} when it came through another node. */
  record HeartbeatReceived(long exchange, Heartbeat heartbeat, boolean relayed) implements Event {
    @Override
    public void dispatchTo(Handler handler) {
      handler.heartbeatReceived(this);
    }
  }
}
