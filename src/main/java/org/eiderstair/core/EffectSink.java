package org.eiderstair.core;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

/**
 * Collects effects and remembers what to do with the reply of each call. Continuations run inside
 * the core's one thread, so a reply is handled like any other event.
 */
final class EffectSink {
  private record Pending(Request request, Consumer<Reply> then) {}

  private final Consumer<Effect> out;
  private final Map<Long, Pending> pending = new HashMap<>();
  private BiConsumer<Request, Reply> watcher = (request, reply) -> {};
  private long lastCall;

  EffectSink(Consumer<Effect> out) {
    this.out = out;
  }

  /** Told of every reply before it is handled. */
  void watch(BiConsumer<Request, Reply> each) {
    watcher = each;
  }

  void call(Request request, Consumer<Reply> then) {
    call(request, Effect.WHENEVER, then);
  }

  void call(Request request, long notAfterMicros, Consumer<Reply> then) {
    long call = ++lastCall;
    pending.put(call, new Pending(request, then));
    out.accept(new Effect.Call(call, request, notAfterMicros));
  }

  void replied(long call, Reply reply) {
    Pending done = pending.remove(call);
    if (done != null) {
      watcher.accept(done.request(), reply);
      done.then().accept(reply);
    }
  }

  void respond(long exchange, Answer answer) {
    respond(exchange, answer, Effect.WHENEVER);
  }

  void respond(long exchange, Answer answer, long notAfterMicros) {
    out.accept(new Effect.Respond(exchange, answer, notAfterMicros));
  }

  void info(String text) {
    out.accept(new Effect.Log(Effect.Level.INFO, text));
  }

  void debug(String text) {
    out.accept(new Effect.Log(Effect.Level.DEBUG, text));
  }

  void error(String text) {
    out.accept(new Effect.Log(Effect.Level.ERROR, text));
  }
}
