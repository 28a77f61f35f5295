package org.eiderstair.core.message;

/** What the core wants done by the code around it. */
public sealed interface Effect {

  /** The deadline of what may be done at any time. */
  long NO_DEADLINE = Long.MAX_VALUE;

  /**
   * Sends a request and reports its outcome once as {@link Event.ReplyReceived}, but not after a
   * deadline: what permitted the request, such as a lease, may have expired while this process was
   * paused between the decision and now.
   */
  record Call(long callId, Request request, long deadlineMicros) implements Effect {
    /** The outcome of a request whose deadline passed before it was sent. */
    public static final Reply EXPIRED = new Reply.NoResponse("not sent: its deadline had passed");

    /** Whether it must not be sent any more. */
    public boolean isExpired(long nowMicros) {
      return nowMicros > deadlineMicros;
    }
  }

  /** Answers an exchange that an event opened; after a deadline, only with a refusal. */
  record Respond(long exchange, Answer answer, long deadlineMicros) implements Effect {
    private static final Answer EXPIRED = new Answer.Failure(503, "too late", 0);

    /** The answer if it may still be sent at that time, else a refusal. */
    public Answer answerAt(long nowMicros) {
      return nowMicros > deadlineMicros ? EXPIRED : answer;
    }
  }

  /** Writes a line to the log. */
  record Log(Level level, String text) implements Effect {}

  /** The level of a line in the log. */
  enum Level {
    ERROR,
    INFO,
    DEBUG
  }
}
