package org.eiderstair.core.state;

import java.util.ArrayDeque;

/**
 * Up to which revision the replica holds all changes, and as of when it is shown to be current.
 * Only an answer of the state service shows that; above all not the renewal of a lease.
 */
final class ReplicaCurrency {
  private static final int MAX_UNREACHED = 64;

  /** An answer shows that all up to its request is in the replica, once that has its revision. */
  private record Answer(long sentMicros, long revision) {}

  private long revision;
  private long currentMicros = Long.MIN_VALUE / 2;

  /** Answers with a revision that the replica has yet to reach, by when their request was sent. */
  private final ArrayDeque<Answer> unreached = new ArrayDeque<>();

  long revision() {
    return revision;
  }

  /** When the latest request was sent whose answer shows that the replica is as new as that. */
  long currentMicros() {
    return currentMicros;
  }

  /** A request that was sent at that time was answered with that revision. */
  void recordAnswer(long sentMicros, long atRevision) {
    if (atRevision <= revision) {
      currentMicros = Math.max(currentMicros, sentMicros);
    } else if (unreached.size() < MAX_UNREACHED
        && (unreached.isEmpty() || sentMicros > unreached.peekLast().sentMicros())) {
      unreached.add(new Answer(sentMicros, atRevision));
    }
  }

  /** Every change up to this revision is in the replica from now on. */
  void reach(long atRevision) {
    revision = Math.max(revision, atRevision);
    unreached.removeIf(
        answer -> {
          boolean reached = answer.revision() <= revision;
          currentMicros = reached ? Math.max(currentMicros, answer.sentMicros()) : currentMicros;
          return reached;
        });
  }

  /** Whether the state service has shown a newer revision than the replica has. */
  boolean isBehind() {
    return !unreached.isEmpty();
  }

  /** While it is behind: when the first request was sent that showed so. */
  long behindSinceMicros() {
    return unreached.peekFirst().sentMicros();
  }

  /** While it is behind: the newest revision that is known of. */
  long newestRevision() {
    return unreached.peekLast().revision();
  }
}
