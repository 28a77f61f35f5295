package org.eiderstair.core.capacity;

import java.util.function.Consumer;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.state.RateBudget;

/** Sends requests to the cloud within its rate limit, and drops replies after the term ends. */
final class CloudCalls {
  /**
   * Fraction of the cloud's rate limit that is used. The rest is a margin, so that delayed requests
   * do not exceed the limit.
   */
  private static final double RATE_SHARE = 0.7;

  private final EffectSink sink;
  private final Leadership leadership;
  private final CapacityClock clock;
  private final RateBudget budget;
  private boolean closed;

  CloudCalls(
      EffectSink sink, Leadership leadership, CapacityClock clock, double requestsPerSecond) {
    this.sink = sink;
    this.leadership = leadership;
    this.clock = clock;
    this.budget = new RateBudget(requestsPerSecond * RATE_SHARE);
  }

  /** Ends the term: replies that arrive later are dropped. */
  void close() {
    closed = true;
  }

  boolean isWithinRate() {
    return budget.available(clock.nowMicros()) >= 1;
  }

  /** Returns whether a call that changes cloud resources may be sent now. */
  boolean mayChange() {
    return isWithinRate() && leadership.mayLaunch(clock.nowMicros());
  }

  /** Sends a read-only request. */
  void query(Request request, Consumer<Reply> callback) {
    budget.take(1);
    sink.call(request, unlessClosed(callback));
  }

  /**
   * Sends a request that changes cloud resources. The request is not sent after this leader's lease
   * ends, so a paused process does not act on expired authority. If the request were sent anyway,
   * its durable record would still fence it.
   */
  void change(Request request, Consumer<Reply> callback) {
    budget.take(1);
    sink.call(request, leadership.bounds().leaseEndMicros(), unlessClosed(callback));
  }

  private Consumer<Reply> unlessClosed(Consumer<Reply> callback) {
    return reply -> {
      if (!closed) {
        callback.accept(reply);
      }
    };
  }
}
