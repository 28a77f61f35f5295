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
import java.util.function.Supplier;
import org.eiderstair.core.Core;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Event;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * The loop of the one thread that owns the core. It hands events to the core in the order of their
 * arrival, replies first, and calls the core's tick after each batch or when a tick is due.
 */
public final class CoreLoop implements Runnable {
  private static final Logger LOG = LoggerFactory.getLogger("eiderstair");
  private static final Event WAKE_UP = new Event.Tick();
  private static final int MAX_BATCH_EVENTS = 32;
  private static final long LOAD_LOG_INTERVAL_MICROS = 10_000_000;

  private final LinkedBlockingQueue<Event> events = new LinkedBlockingQueue<>();

  /**
   * Replies to this node's own requests, handled before all other events. After a failover with 361
   * machines, the reply to a lease renewal waited behind 500 heartbeats. The node then considered
   * the lease expired although it had been renewed.
   */
  private final ConcurrentLinkedQueue<Event> replies = new ConcurrentLinkedQueue<>();

  private final Map<String, Integer> eventCounts = new TreeMap<>();
  private int maxWaitingEvents;
  private long nextLoadLogMicros;
  private Core core;
  private Consumer<Effect> effects;
  private Predicate<Event> lateEventFilter = event -> false;
  private int refusedLateEvents;
  private Supplier<String> refusedMessageCounter = () -> "";
  private LongConsumer timeoutCheck = nowMicros -> {};
  private final OverloadDetector overloadDetector = new OverloadDetector();

  /**
   * Connects the loop with the core that it drives and with the consumer of its effects. Call once,
   * before {@link #run}.
   */
  public void attach(Core core, Consumer<Effect> effects) {
    this.core = core;
    this.effects = effects;
  }

  /**
   * Sets the check for timeouts of outgoing requests. It receives the time in microseconds after
   * each tick of the core.
   */
  public void setTimeoutCheck(LongConsumer check) {
    timeoutCheck = check;
  }

  /**
   * Sets the filter for late events. It returns whether it refused an event because nobody waits
   * for the answer any more; the core does not receive refused events.
   */
  public void setLateEventFilter(Predicate<Event> filter) {
    lateEventFilter = filter;
  }

  /** Sets the counter, which returns the messages refused since its previous call by reason. */
  public void setRefusedMessageCounter(Supplier<String> counter) {
    refusedMessageCounter = counter;
  }

  /** Sets the counter, which returns the connections refused since its previous call. */
  public void setRefusedConnectionCounter(IntSupplier counter) {
    overloadDetector.setRefusedConnectionCounter(counter);
  }

  /** Returns whether this node is so far behind that deferrable requests are refused. */
  public boolean isBehind() {
    return overloadDetector.isBehind();
  }

  /** Queues an event for the core's thread; any thread may call this method. */
  public void offer(Event event) {
    if (event instanceof Event.ReplyReceived) {
      replies.add(event);
      // The core's thread waits on events only, so an extra event wakes it up.
      if (events.isEmpty()) {
        events.add(WAKE_UP);
      }
    } else {
      events.add(event);
    }
  }

  /** Returns the time of the monotonic clock, which, unlike the time of day, is never set back. */
  public static long nowMicros() {
    return System.nanoTime() / 1000;
  }

  /** Returns whether the core's log lines at level debug are written. */
  static boolean isDebugEnabled() {
    return LOG.isDebugEnabled();
  }

  /** Executes an effect: writes log lines, and passes other effects to the attached consumer. */
  public void execute(Effect effect) {
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
            wait > 0 && replies.isEmpty()
                ? events.poll(wait, TimeUnit.MICROSECONDS)
                : events.poll();
        takeReplies();
        // The decisions in a tick cost the most, so a batch of events shares one tick. The batch
        // size is bounded so that the tick is not delayed without limit.
        for (int taken = 1; event != null; taken++) {
          take(event);
          takeReplies();
          event = taken < MAX_BATCH_EVENTS ? events.poll() : null;
        }
        checkOverload();
        core.tick(nowMicros());
        timeoutCheck.accept(nowMicros());
        if (LOG.isInfoEnabled()) {
          logLoad(nowMicros());
        }
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      } catch (RuntimeException e) {
        LOG.error("core loop iteration failed", e);
      }
    }
  }

  /**
   * Logs the load once per interval: the events by type, late events, the most events that waited,
   * and the heap. Operators look at this line first when a controller is slow.
   */
  private void logLoad(long nowMicros) {
    maxWaitingEvents = Math.max(maxWaitingEvents, events.size());
    if (nowMicros < nextLoadLogMicros) {
      return;
    }
    nextLoadLogMicros = nowMicros + LOAD_LOG_INTERVAL_MICROS;
    Runtime runtime = Runtime.getRuntime();
    LOG.info(
        "load: {}, refused as late {}, refused messages {}, max waiting {}, heap {} of {} MB",
        eventCounts,
        refusedLateEvents,
        refusedMessageCounter.get(),
        maxWaitingEvents,
        (runtime.totalMemory() - runtime.freeMemory()) >> 20,
        runtime.maxMemory() >> 20);
    eventCounts.clear();
    refusedLateEvents = 0;
    maxWaitingEvents = 0;
  }

  private void checkOverload() {
    Event.Overloaded overloaded = overloadDetector.check(events.size(), nowMicros());
    if (overloaded != null) {
      take(overloaded);
    }
  }

  private void takeReplies() {
    for (Event reply = replies.poll(); reply != null; reply = replies.poll()) {
      take(reply);
    }
  }

  private void take(Event event) {
    if (lateEventFilter.test(event)) {
      refusedLateEvents++;
      return;
    }
    if (LOG.isInfoEnabled()) {
      eventCounts.merge(event.getClass().getSimpleName(), 1, Integer::sum);
    }
    core.process(event, nowMicros());
  }
}
