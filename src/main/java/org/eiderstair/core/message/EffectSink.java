package org.eiderstair.core.message;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Collects effects and remembers what to do with the reply of each call. Continuations run inside
 * the core's one thread, so a reply is handled like any other event.
 */
public final class EffectSink {
  private record Pending(Request request, Consumer<Reply> callback) {}

  private final Consumer<Effect> out;
  private final Map<Long, Pending> pending = new HashMap<>();
  private BiConsumer<Request, Reply> watcher = (request, reply) -> {};
  private long lastCall;

  public EffectSink(Consumer<Effect> out) {
    this.out = out;
  }

  /** Told of every reply before it is handled. */
  public void watch(BiConsumer<Request, Reply> each) {
    watcher = each;
  }

  /** Sends a request; {@code callback} gets its reply. */
  public void call(Request request, Consumer<Reply> callback) {
    call(request, Effect.WHENEVER, callback);
  }

  /** The same, not later than a time. */
  public void call(Request request, long notAfterMicros, Consumer<Reply> callback) {
    long call = ++lastCall;
    pending.put(call, new Pending(request, callback));
    out.accept(new Effect.Call(call, request, notAfterMicros));
  }

  /** A reply came for an earlier call. */
  public void replied(long call, Reply reply) {
    Pending done = pending.remove(call);
    if (done != null) {
      watcher.accept(done.request(), reply);
      done.callback().accept(reply);
    }
  }

  /** Answers an exchange. */
  public void respond(long exchange, Answer answer) {
    respond(exchange, answer, Effect.WHENEVER);
  }

  /** The same, not later than a time. */
  public void respond(long exchange, Answer answer, long notAfterMicros) {
    out.accept(new Effect.Respond(exchange, answer, notAfterMicros));
  }

  /** Logs at level info. */
  public void info(String text) {
    out.accept(new Effect.Log(Effect.Level.INFO, text));
  }

  /** Logs at level debug. */
  public void debug(String text) {
    out.accept(new Effect.Log(Effect.Level.DEBUG, text));
  }

  /** Logs at level error. */
  public void error(String text) {
    out.accept(new Effect.Log(Effect.Level.ERROR, text));
  }
}
