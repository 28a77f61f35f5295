package org.eiderstair.core.message;

/** What the core wants done. */
public sealed interface Effect {

  /** What may be done at any time. */
  long WHENEVER = Long.MAX_VALUE;

  /**
   * Carry out a request and report its outcome once as {@link Event.Replied}; but not after a time,
   * since what allowed it may have run out while this process stood still between the decision and
   * now.
   */
  record Call(long call, Request request, long notAfterMicros) implements Effect {
    static final Reply TOO_LATE = new Reply.NoResponse("not sent: what allowed it had run out");

    /** What stands for the outcome when it is too late; null while it is not. */
    public Reply tooLate(long nowMicros) {
      return nowMicros > notAfterMicros ? TOO_LATE : null;
    }
  }

  /**
   * Answer an exchange that an event opened; after a time, only that this cannot be answered any
   * more.
   */
  record Respond(long exchange, Answer answer, long notAfterMicros) implements Effect {
    private static final Answer TOO_LATE = new Answer.Failure(503, "too late", 0);

    /** The answer if it may still be sent at that time, else a refusal. */
    public Answer answerAt(long nowMicros) {
      return nowMicros > notAfterMicros ? TOO_LATE : answer;
    }
  }

  /** A decision worth a line in the log. */
  record Log(Level level, String text) implements Effect {}

  /** How much a line in the log matters. */
  enum Level {
    ERROR,
    INFO,
    DEBUG
  }
}
