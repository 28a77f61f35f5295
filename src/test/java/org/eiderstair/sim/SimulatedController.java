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

/** A controller: a core whose process can crash, restart and pause. */
final class SimulatedController {
  private static final long TICK_MICROS = 50_000;

  private final SimulatedCluster cluster;
  private final RequestTransport transport;
  private final int index;
  private final Map<Long, Consumer<Answer>> callbackByExchange = new HashMap<>();
  private Core core;

  /** Number of starts and crashes; callbacks of an earlier process are ignored. */
  private int incarnation;

  private long lastExchange;

  /** Duration of the pause that begins with the next event; 0 for none. */
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

  /** Returns the index of the controller with that name. */
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

  boolean isRunning() {
    return core != null;
  }

  boolean isLeader() {
    return core != null && core.isLeader();
  }

  void start() {
    int startedIncarnation = ++incarnation;
    callbackByExchange.clear();
    pauseMicros = 0;
    pausedUntilMicros = 0;
    core =
        new Core(
            cluster.settingsOf(index),
            name() + "-" + incarnation,
            0,
            cluster.random::nextInt,
            effect -> onEffect(effect, startedIncarnation));
    core.setDebugEnabled(Boolean.getBoolean("sim.log"));
    tick(startedIncarnation);
  }

  /** Ends the process; its state and the exchanges in progress are lost. */
  void crash() {
    incarnation++;
    core = null;
    callbackByExchange.clear();
  }

  /**
   * Pauses the process after its next decision, before the effects of that decision are executed.
   */
  void pause(long micros) {
    pauseMicros = micros;
  }

  /**
   * Passes an event to the core and its answer to {@code callback}; a controller that is down does
   * not answer.
   */
  void receive(LongFunction<Event> event, Consumer<Answer> callback) {
    if (core != null) {
      callbackByExchange.put(++lastExchange, callback);
      handle(event.apply(lastExchange));
    }
  }

  private boolean isCurrent(int expectedIncarnation) {
    return expectedIncarnation == incarnation && core != null;
  }

  private boolean isPaused() {
    return cluster.clock.now() < pausedUntilMicros;
  }

  private void tick(int expectedIncarnation) {
    if (isCurrent(expectedIncarnation)) {
      handle(new Event.Tick());
      cluster.clock.after(TICK_MICROS, () -> tick(expectedIncarnation));
    }
  }

  private void handle(Event event) {
    if (isPaused()) {
      runAfterPause(incarnation, () -> handle(event));
      return;
    }
    if (pauseMicros > 0) {
      pausedUntilMicros = cluster.clock.now() + pauseMicros;
      pauseMicros = 0;
    }
    core.handle(event, cluster.clock.now());
  }

  private void runAfterPause(int expectedIncarnation, Runnable action) {
    cluster.clock.after(
        pausedUntilMicros - cluster.clock.now(), () -> runIfCurrent(expectedIncarnation, action));
  }

  private void runIfCurrent(int expectedIncarnation, Runnable action) {
    if (isCurrent(expectedIncarnation)) {
      action.run();
    }
  }

  private void onEffect(Effect effect, int expectedIncarnation) {
    cluster.effectDigest.add(index, cluster.clock.now(), effect);
    if (effect instanceof Effect.Log log) {
      cluster.onControllerLog(name(), log.text());
    }
    if (isPaused()) {
      runAfterPause(expectedIncarnation, () -> execute(effect, expectedIncarnation));
    } else {
      execute(effect, expectedIncarnation);
    }
  }

  private void execute(Effect effect, int expectedIncarnation) {
    if (effect instanceof Effect.Respond respond) {
      Consumer<Answer> callback = callbackByExchange.remove(respond.exchange());
      if (callback != null) {
        callback.accept(cluster.defects.answer.apply(respond.answerAt(cluster.clock.now())));
      }
    } else if (effect instanceof Effect.Call call) {
      execute(call, expectedIncarnation);
    }
  }

  private void execute(Effect.Call call, int expectedIncarnation) {
    if (call.isExpired(cluster.clock.now())) {
      cluster.clock.after(
          0,
          () ->
              runIfCurrent(
                  expectedIncarnation,
                  () -> handle(new Event.ReplyReceived(call.callId(), Effect.Call.EXPIRED))));
      return;
    }
    Request request = cluster.defects.request.apply(call.request());
    boolean[] replied = {false};
    Consumer<Reply> firstReply =
        reply -> {
          if (!replied[0] && isCurrent(expectedIncarnation)) {
            replied[0] = true;
            handle(new Event.ReplyReceived(call.callId(), reply));
          }
        };
    cluster.clock.after(
        RequestTransport.timeoutMicros(request),
        () -> firstReply.accept(new Reply.NoResponse("timeout")));
    transport.send(this, request, firstReply);
  }
}
