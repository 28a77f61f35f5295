package org.eiderstair.core.state;

import java.util.ArrayDeque;

/**
 * Tracks the revision up to which the replica holds all changes, and the time as of which the
 * replica is shown to be fresh. Only an answer with a revision of the keys shows freshness; a lease
 * renewal does not.
 */
final class ReplicaFreshness {
  private static final int MAX_PENDING_REPLIES = 64;

  /**
   * An answer whose revision the replica has not reached yet. Once the replica has reached the
   * revision, it holds all changes made until the request was sent.
   */
  private record PendingReply(long sentMicros, long revision) {}

  private long revision;
  private long freshAsOfMicros = Long.MIN_VALUE / 2;

  /** Answers whose revision the replica has not reached yet, ordered by request time. */
  private final ArrayDeque<PendingReply> pendingReplies = new ArrayDeque<>();

  /** Returns the revision up to which the replica holds every change. */
  long revision() {
    return revision;
  }

  /**
   * Returns the send time of the latest request whose answer shows that the replica holds every
   * change made until that time.
   */
  long freshAsOfMicros() {
    return freshAsOfMicros;
  }

  /**
   * Records the revision with which the state service answered a request. Drops the answer when too
   * many are pending, or when it is not newer than the last pending one by request time.
   */
  void recordAnswer(long sentMicros, long atRevision) {
    if (atRevision <= revision) {
      freshAsOfMicros = Math.max(freshAsOfMicros, sentMicros);
    } else if (pendingReplies.size() < MAX_PENDING_REPLIES
        && (pendingReplies.isEmpty() || sentMicros > pendingReplies.peekLast().sentMicros())) {
      pendingReplies.add(new PendingReply(sentMicros, atRevision));
    }
  }

  /** Records that the replica holds every change up to this revision. */
  void advanceTo(long atRevision) {
    revision = Math.max(revision, atRevision);
    pendingReplies.removeIf(
        reply -> {
          boolean reached = reply.revision() <= revision;
          freshAsOfMicros =
              reached ? Math.max(freshAsOfMicros, reply.sentMicros()) : freshAsOfMicros;
          return reached;
        });
  }

  /**
   * Returns whether an answer of the state service showed a newer revision than the replica has.
   */
  boolean isBehind() {
    return !pendingReplies.isEmpty();
  }

  /**
   * Returns the send time of the earliest request whose answer shows that the replica is behind.
   * May be called only while the replica is behind.
   */
  long behindSinceMicros() {
    return pendingReplies.peekFirst().sentMicros();
  }

  /**
   * Returns the revision of the latest pending answer. May be called only while the replica is
   * behind.
   */
  long newestRevision() {
    return pendingReplies.peekLast().revision();
  }
}
