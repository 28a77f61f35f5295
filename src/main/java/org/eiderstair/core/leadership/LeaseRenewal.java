package org.eiderstair.core.leadership;

import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;

/** Renews the lease of the leader key at a fixed interval, with one renewal in flight at a time. */
final class LeaseRenewal {

  /** Receives the outcome of a renewal, unless the term of that renewal has ended. */
  interface Listener {
    /** Returns whether this node is still the leader in the given term. */
    boolean leadsInTerm(long term);

    /**
     * Called when the lease was renewed.
     *
     * @param sentMicros when the renewal was sent
     */
    void renewed(long sentMicros);

    /** Called when the state service no longer knows the lease. */
    void leaseExpired();

    /** Called when there was no usable answer, or a refusal for a reason other than the lease. */
    void renewalFailed();
  }

  private static final long RETRY_DELAY_MICROS = 400_000;

  private final EffectSink sink;
  private final long intervalMicros;
  private final Listener listener;
  private boolean inFlight;
  private long nextMicros;

  LeaseRenewal(EffectSink sink, long intervalMicros, Listener listener) {
    this.sink = sink;
    this.intervalMicros = intervalMicros;
    this.listener = listener;
  }

  /**
   * Schedules the next renewal one interval after the latest successful request.
   *
   * @param sentMicros when the request that granted or renewed the lease was sent
   */
  void renewedAt(long sentMicros) {
    nextMicros = sentMicros + intervalMicros;
  }

  /** Makes the next renewal due immediately. */
  void scheduleImmediately(long nowMicros) {
    nextMicros = Math.min(nextMicros, nowMicros);
  }

  /** Schedules the next renewal after a failed one. */
  void scheduleRetry(long nowMicros) {
    nextMicros = nowMicros + RETRY_DELAY_MICROS;
  }

  /** Renews the lease if a renewal is due and none is in flight. */
  void tick(long lease, long term, long nowMicros) {
    if (inFlight || nowMicros < nextMicros) {
      return;
    }
    inFlight = true;
    sink.call(
        new Request.LeaseRenew(lease),
        reply -> {
          inFlight = false;
          if (listener.leadsInTerm(term)) {
            handleReply(reply, nowMicros);
          }
        });
  }

  private void handleReply(Reply reply, long sentMicros) {
    if (reply instanceof Reply.Applied) {
      renewedAt(sentMicros);
      listener.renewed(sentMicros);
    } else if (reply instanceof Reply.Refused refused && refused.isNotFound()) {
      listener.leaseExpired();
    } else {
      listener.renewalFailed();
    }
  }
}
