package org.eiderstair.core.message;

/** An action that the core requests from the surrounding code. */
public sealed interface Effect {

  /** The deadline of an effect that may be executed at any time. */
  long NO_DEADLINE = Long.MAX_VALUE;

  /**
   * Sends a request and reports its outcome exactly once as {@link Event.ReplyReceived}. The
   * request is not sent after the deadline. The condition that permitted the request, such as a
   * lease, may have expired while the process was paused after the decision.
   */
  record Call(long callId, Request request, long deadlineMicros) implements Effect {
    /** The reply to a request whose deadline passed before the request was sent. */
    public static final Reply EXPIRED = new Reply.NoResponse("not sent: deadline passed");

    /** Returns whether the deadline has passed, so that the request must not be sent. */
    public boolean isExpired(long nowMicros) {
      return nowMicros > deadlineMicros;
    }
  }

  /** Answers an exchange that an event opened. After the deadline, only a refusal is sent. */
  record Respond(long exchange, Answer answer, long deadlineMicros) implements Effect {
    private static final Answer EXPIRED = new Answer.Failure(503, "too late", 0);

    /** Returns the answer if the deadline has not passed at the given time, else a refusal. */
    public Answer answerAt(long nowMicros) {
      return nowMicros > deadlineMicros ? EXPIRED : answer;
    }
  }

  /** Writes a line to the log. */
  record Log(Level level, String text) implements Effect {}

  /** The level of a log line. */
  enum Level {
    /** An unexpected failure. */
    ERROR,
    /** A notable event. */
    INFO,
    /** A detail for diagnosis. */
    DEBUG
  }
}
