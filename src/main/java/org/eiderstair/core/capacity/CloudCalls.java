package org.eiderstair.core.capacity;

import java.util.function.Consumer;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.state.RateBudget;

/** Calls to the cloud, within its rate limit and until the term is over. */
final class CloudCalls {
  /** The part of the cloud's rate limit that is used, so that delays do not break it. */
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

  /** The term is over: answers that are still to come are dropped. */
  void close() {
    closed = true;
  }

  boolean isWithinRate() {
    return budget.available(clock.nowMicros()) >= 1;
  }

  /** Whether a call that changes something may be made now. */
  boolean mayChange() {
    return isWithinRate() && leadership.mayLaunch(clock.nowMicros());
  }

  /** A call that only reads. */
  void query(Request request, Consumer<Reply> callback) {
    budget.take(1);
    sink.call(request, whileOpen(callback));
  }

  /**
   * A call that changes something. It is not sent after this leader's lease has ended, so a process
   * that was paused does not act on old authority; if it were, its durable record would still fence
   * it.
   */
  void change(Request request, Consumer<Reply> callback) {
    budget.take(1);
    sink.call(request, leadership.bounds().leaseEndMicros(), whileOpen(callback));
  }

  private Consumer<Reply> whileOpen(Consumer<Reply> callback) {
    return reply -> {
      if (!closed) {
        callback.accept(reply);
      }
    };
  }
}
