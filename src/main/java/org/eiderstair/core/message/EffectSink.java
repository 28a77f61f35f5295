package org.eiderstair.core.message;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Emits the core's effects and keeps the callback of each request until the reply is received.
 * Callbacks run on the core's single thread, so replies are handled like any other event.
 */
public final class EffectSink {

  /** Observes every reply before the callback of the request runs. */
  @FunctionalInterface
  public interface ReplyObserver {
    /** Handles the reply to a request. */
    void replied(Request request, Reply reply);
  }

  private record PendingCall(Request request, Consumer<Reply> callback) {}

  private final Consumer<Effect> output;
  private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
  private ReplyObserver observer = (request, reply) -> {};
  private long lastCallId;
  private boolean debugEnabled;

  public EffectSink(Consumer<Effect> output) {
    this.output = output;
  }

  /** Sets the observer of all replies, replacing the previous one. */
  public void observeReplies(ReplyObserver replyObserver) {
    observer = replyObserver;
  }

  /** Sends a request without a deadline; {@code callback} receives the reply. */
  public void call(Request request, Consumer<Reply> callback) {
    call(request, Effect.NO_DEADLINE, callback);
  }

  /** Sends a request, but not after the deadline; {@code callback} receives the reply. */
  public void call(Request request, long deadlineMicros, Consumer<Reply> callback) {
    long callId = ++lastCallId;
    pendingCalls.put(callId, new PendingCall(request, callback));
    output.accept(new Effect.Call(callId, request, deadlineMicros));
  }

  /** Runs the callback of an earlier request. Further replies to the same request are ignored. */
  public void replied(long callId, Reply reply) {
    PendingCall call = pendingCalls.remove(callId);
    if (call != null) {
      observer.replied(call.request(), reply);
      call.callback().accept(reply);
    }
  }

  /** Answers an exchange without a deadline. */
  public void respond(long exchange, Answer answer) {
    respond(exchange, answer, Effect.NO_DEADLINE);
  }

  /** Answers an exchange, but sends a refusal after the deadline. */
  public void respond(long exchange, Answer answer, long deadlineMicros) {
    output.accept(new Effect.Respond(exchange, answer, deadlineMicros));
  }

  /** Logs a line at level INFO. */
  public void info(String text) {
    output.accept(new Effect.Log(Effect.Level.INFO, text));
  }

  /** Sets whether lines at level DEBUG are written; they are not by default. */
  public void setDebugEnabled(boolean enabled) {
    debugEnabled = enabled;
  }

  /** Returns whether lines at level DEBUG are written, so that frequent ones need not be built. */
  public boolean isDebugEnabled() {
    return debugEnabled;
  }

  /** Logs a line at level DEBUG. */
  public void debug(String text) {
    output.accept(new Effect.Log(Effect.Level.DEBUG, text));
  }

  /** Logs a line at level ERROR. */
  public void error(String text) {
    output.accept(new Effect.Log(Effect.Level.ERROR, text));
  }
}
