package org.eiderstair.core.message;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

/**
 * Emits the core's effects and remembers the callback of each request until its reply comes.
 * Callbacks run in the core's one thread, so a reply is handled like any other event.
 */
public final class EffectSink {

  /** Sees every reply before its callback does. */
  @FunctionalInterface
  public interface ReplyObserver {
    /** A reply to that request has come. */
    void replied(Request request, Reply reply);
  }

  private record PendingCall(Request request, Consumer<Reply> callback) {}

  private final Consumer<Effect> output;
  private final Map<Long, PendingCall> pendingCalls = new HashMap<>();
  private ReplyObserver observer = (request, reply) -> {};
  private long lastCallId;

  public EffectSink(Consumer<Effect> output) {
    this.output = output;
  }

  /** Sets the one observer of all replies. */
  public void observeReplies(ReplyObserver replyObserver) {
    observer = replyObserver;
  }

  /** Sends a request at any time; {@code callback} gets its reply. */
  public void call(Request request, Consumer<Reply> callback) {
    call(request, Effect.NO_DEADLINE, callback);
  }

  /** Sends a request, but not after the deadline; {@code callback} gets its reply. */
  public void call(Request request, long deadlineMicros, Consumer<Reply> callback) {
    long callId = ++lastCallId;
    pendingCalls.put(callId, new PendingCall(request, callback));
    output.accept(new Effect.Call(callId, request, deadlineMicros));
  }

  /** Runs the callback of an earlier request. A second reply to the same request is ignored. */
  public void replied(long callId, Reply reply) {
    PendingCall call = pendingCalls.remove(callId);
    if (call != null) {
      observer.replied(call.request(), reply);
      call.callback().accept(reply);
    }
  }

  /** Answers an exchange at any time. */
  public void respond(long exchange, Answer answer) {
    respond(exchange, answer, Effect.NO_DEADLINE);
  }

  /** Answers an exchange; after the deadline it is refused instead. */
  public void respond(long exchange, Answer answer, long deadlineMicros) {
    output.accept(new Effect.Respond(exchange, answer, deadlineMicros));
  }

  /** Logs at level info. */
  public void info(String text) {
    output.accept(new Effect.Log(Effect.Level.INFO, text));
  }

  /** Logs at level debug. */
  public void debug(String text) {
    output.accept(new Effect.Log(Effect.Level.DEBUG, text));
  }

  /** Logs at level error. */
  public void error(String text) {
    output.accept(new Effect.Log(Effect.Level.ERROR, text));
  }
}
