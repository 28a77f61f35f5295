package org.eiderstair.node;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.IntSupplier;
import java.util.function.LongConsumer;
import java.util.function.Predicate;
import org.eiderstair.core.Core;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Event;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** The one thread that owns the core: takes events in their order, and ticks when none comes. */
public final class CoreLoop implements Runnable {
  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");
  private static final Event WAKE = new Event.Tick();
  private static final int MAX_BATCH = 32;
  private static final long LOAD_EVERY_MICROS = 10_000_000;

  private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();

  /**
   * Outcomes of this node's own requests go before what others ask. Seen after a failover with 361
   * machines: the lease had been renewed, but the reply waited behind 500 heartbeats until the
   * lease was believed expired.
   */
  private final ConcurrentLinkedQueue<Event> outcomes = new ConcurrentLinkedQueue<>();

  private final Map<String, Integer> counts = new TreeMap<>();
  private int maxWaiting;
  private long nextLoadMicros;
  private Core core;
  private Consumer<Effect> effects;
  private Predicate<Event> refusedAsLate = event -> false;
  private int refusedLate;
  private LongConsumer timeouts = now -> {};
  private final OverloadDetector overload = new OverloadDetector();

  /**
   * Connects the loop with the core that it drives and with the consumer of its effects. Call once,
   * before {@link #run}.
   */
  public void attach(Core withCore, Consumer<Effect> withEffects) {
    core = withCore;
    effects = withEffects;
  }

  /** Sets what checks the time limits of outgoing requests, after each tick of the core. */
  public void timeouts(LongConsumer check) {
    timeouts = check;
  }

  /** Sets who refuses events that have waited for so long that they are of no use any more. */
  public void refuseLate(Predicate<Event> refusal) {
    refusedAsLate = refusal;
  }

  /** Sets who counts the connections that were refused since it was asked last. */
  public void refusedConnections(IntSupplier refusals) {
    overload.refusedConnections(refusals);
  }

  /** Whether this node is so far behind that what can wait is to be refused. */
  public boolean isBehind() {
    return overload.isBehind();
  }

  /** Hands an event to the core's thread; may be called from any thread. */
  public void offer(Event event) {
    if (event instanceof Event.ReplyReceived) {
      outcomes.add(event);
      // Wakes the core when nothing else does.
      if (events.isEmpty()) {
        events.add(WAKE);
      }
    } else {
      events.add(event);
    }
  }

  /** The steady clock: it is never set back, unlike the time of day. */
  public static long nowMicros() {
    return System.nanoTime() / 1000;
  }

  /** Carries out an effect: log lines are written here, the rest goes to the attached consumer. */
  public void effect(Effect effect) {
    if (effect instanceof Effect.Log log) {
      switch (log.level()) {
        case ERROR -> LOG.error(log.text());
        case INFO -> LOG.info(log.text());
        case DEBUG -> LOG.debug(log.text());
      }
    } else {
      effects.accept(effect);
    }
  }

  @Override
  public void run() {
    while (!Thread.currentThread().isInterrupted()) {
      try {
        long wait = core.dueMicros() - nowMicros();
        Event event =
            wait > 0 && outcomes.isEmpty()
                ? events.poll(wait, TimeUnit.MICROSECONDS)
                : events.poll();
        takeOutcomes();
        // Decisions for all events together cost the most: one tick for a batch, whose size is
        // bounded so that the tick is not put off without limit.
        for (int taken = 1; event != null; taken++) {
          take(event);
          takeOutcomes();
          event = taken < MAX_BATCH ? events.poll() : null;
        }
        checkOverload();
        core.tick(nowMicros());
        timeouts.accept(nowMicros());
        if (LOG.isInfoEnabled()) {
          logLoad(nowMicros());
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (RuntimeException e) {
        LOG.error("tick failed", e);
      }
    }
  }

  /**
   * Logs the load, which an operator looks at first when a controller is slow: the events by kind,
   * and the most that waited.
   */
  private void logLoad(long now) {
    maxWaiting = Math.max(maxWaiting, events.size());
    if (now < nextLoadMicros) {
      return;
    }
    nextLoadMicros = now + LOAD_EVERY_MICROS;
    Runtime runtime = Runtime.getRuntime();
    LOG.info(
        "load: {}, refused as late {}, max waiting {}, heap {} of {} MB",
        counts,
        refusedLate,
        maxWaiting,
        (runtime.totalMemory() - runtime.freeMemory()) >> 20,
        runtime.maxMemory() >> 20);
    counts.clear();
    refusedLate = 0;
    maxWaiting = 0;
  }

  private void checkOverload() {
    Event.Overloaded overloaded = overload.check(events.size(), nowMicros());
    if (overloaded != null) {
      take(overloaded);
    }
  }

  private void takeOutcomes() {
    for (Event outcome = outcomes.poll(); outcome != null; outcome = outcomes.poll()) {
      take(outcome);
    }
  }

  private void take(Event event) {
    if (refusedAsLate.test(event)) {
      refusedLate++;
      return;
    }
    if (LOG.isInfoEnabled()) {
      counts.merge(event.getClass().getSimpleName(), 1, Integer::sum);
    }
    core.process(event, nowMicros());
  }
}
