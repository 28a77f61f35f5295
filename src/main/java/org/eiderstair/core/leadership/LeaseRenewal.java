package org.eiderstair.core.leadership;

import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;

/** Renews the lease of the leader key at a fixed interval, one renewal at a time. */
final class LeaseRenewal {

  /** Takes the outcome of a renewal, while it still leads in the term of that renewal. */
  interface Holder {
    boolean leadsInTerm(long term);

    /** The lease was renewed by a request sent at that time. */
    void renewed(long sentMicros);

    /** The state service does not know the lease any more. */
    void leaseExpired();

    /** No usable answer, or a refusal that says nothing of the lease. */
    void renewalFailed();
  }

  private static final long RETRY_MICROS = 400_000;

  private final EffectSink sink;
  private final long intervalMicros;
  private final Holder holder;
  private boolean underWay;
  private long nextMicros;

  LeaseRenewal(EffectSink sink, long intervalMicros, Holder holder) {
    this.sink = sink;
    this.intervalMicros = intervalMicros;
    this.holder = holder;
  }

  /** The lease was granted or renewed by a request sent at that time. */
  void renewedAt(long sentMicros) {
    nextMicros = sentMicros + intervalMicros;
  }

  /** The next renewal is due at once. */
  void hasten(long nowMicros) {
    nextMicros = Math.min(nextMicros, nowMicros);
  }

  /** The last renewal failed. */
  void retryAfter(long nowMicros) {
    nextMicros = nowMicros + RETRY_MICROS;
  }

  /** Renews the lease if that is due and no renewal is under way. */
  void tick(long lease, long term, long nowMicros) {
    if (underWay || nowMicros < nextMicros) {
      return;
    }
    underWay = true;
    sink.call(
        new Request.LeaseRenew(lease),
        reply -> {
          underWay = false;
          if (holder.leadsInTerm(term)) {
            take(reply, nowMicros);
          }
        });
  }

  private void take(Reply reply, long sentMicros) {
    if (reply instanceof Reply.Applied) {
      renewedAt(sentMicros);
      holder.renewed(sentMicros);
    } else if (reply instanceof Reply.Refused refused && refused.isNotFound()) {
      holder.leaseExpired();
    } else {
      holder.renewalFailed();
    }
  }
}
