package org.eiderstair.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.eiderstair.core.Core;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;

/** One controller: a core whose process may end, start again or pause. */
final class SimulatedController {
  private static final long TICK_MICROS = 50_000;

  private final SimulatedCluster cluster;
  private final RequestTransport transport;
  private final int index;
  private final Map<Long, Consumer<Answer>> exchanges = new HashMap<>();
  private Core core;

  /** Counts starts and ends: what belongs to an earlier process is dropped. */
  private int incarnation;

  private long lastExchange;
  private long pauseMicros;
  private long pausedUntilMicros;

  SimulatedController(SimulatedCluster cluster, RequestTransport transport, int index) {
    this.cluster = cluster;
    this.transport = transport;
    this.index = index;
  }

  static String nameOf(int index) {
    return "n" + index;
  }

  /** The index of the controller with that name. */
  static int indexOf(String name) {
    return Integer.parseInt(name.substring(1));
  }

  static boolean isController(String host) {
    return host.startsWith("n");
  }

  String name() {
    return nameOf(index);
  }

  int index() {
    return index;
  }

  boolean runs() {
    return core != null;
  }

  boolean isLeader() {
    return core != null && core.isLeader();
  }

  void start() {
    int started = ++incarnation;
    exchanges.clear();
    pauseMicros = 0;
    pausedUntilMicros = 0;
    core =
        new Core(
            cluster.settingsOf(index),
            name() + "-" + incarnation,
            0,
            cluster.random::nextInt,
            effect -> effect(effect, started));
    tick(started);
  }

  void crash() {
    incarnation++;
    core = null;
    exchanges.clear();
  }

  /** The process pauses after its next decision, before what it decided is carried out. */
  void pause(long micros) {
    pauseMicros = micros;
  }

  /**
   * Hands an event to the core; its answer goes to {@code callback}. Nobody answers if it is down.
   */
  void ask(LongFunction<Event> event, Consumer<Answer> callback) {
    if (core != null) {
      exchanges.put(++lastExchange, callback);
      handle(event.apply(lastExchange));
    }
  }

  private boolean isCurrent(int expected) {
    return expected == incarnation && core != null;
  }

  private boolean paused() {
    return cluster.clock.now() < pausedUntilMicros;
  }

  private void tick(int expected) {
    if (isCurrent(expected)) {
      handle(new Event.Tick());
      cluster.clock.after(TICK_MICROS, () -> tick(expected));
    }
  }

  private void handle(Event event) {
    if (paused()) {
      afterPause(incarnation, () -> handle(event));
      return;
    }
    if (pauseMicros > 0) {
      pausedUntilMicros = cluster.clock.now() + pauseMicros;
      pauseMicros = 0;
    }
    core.handle(event, cluster.clock.now());
  }

  private void afterPause(int expected, Runnable action) {
    cluster.clock.after(pausedUntilMicros - cluster.clock.now(), () -> ifCurrent(expected, action));
  }

  private void ifCurrent(int expected, Runnable action) {
    if (isCurrent(expected)) {
      action.run();
    }
  }

  private void effect(Effect effect, int expected) {
    cluster.effects.add(index, cluster.clock.now(), effect);
    if (effect instanceof Effect.Log log) {
      cluster.logged(name(), log.text());
    }
    if (paused()) {
      afterPause(expected, () -> carryOut(effect, expected));
    } else {
      carryOut(effect, expected);
    }
  }

  private void carryOut(Effect effect, int expected) {
    if (effect instanceof Effect.Respond respond) {
      Consumer<Answer> callback = exchanges.remove(respond.exchange());
      if (callback != null) {
        callback.accept(cluster.planted.answer.apply(respond.answerAt(cluster.clock.now())));
      }
    } else if (effect instanceof Effect.Call call) {
      carryOut(call, expected);
    }
  }

  private void carryOut(Effect.Call call, int expected) {
    if (call.isExpired(cluster.clock.now())) {
      cluster.clock.after(
          0,
          () ->
              ifCurrent(
                  expected,
                  () -> handle(new Event.ReplyReceived(call.callId(), Effect.Call.EXPIRED))));
      return;
    }
    Request request = cluster.planted.request.apply(call.request());
    boolean[] replied = {false};
    Consumer<Reply> firstReply =
        reply -> {
          if (!replied[0] && isCurrent(expected)) {
            replied[0] = true;
            handle(new Event.ReplyReceived(call.callId(), reply));
          }
        };
    cluster.clock.after(
        RequestTransport.timeoutMicros(request),
        () -> firstReply.accept(new Reply.NoResponse("timeout")));
    transport.carry(this, request, firstReply);
  }
}
