package org.eiderstair.core.workers;

import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.settings.Settings;

/**
 * Tracks the overload of this node. Missing heartbeats prove nothing about machines or the network
 * during an overload, and until the refused workers have had time to return.
 */
public final class OverloadMonitor {
  /** A worker's timeout of 4 s, followed by three attempts at other nodes of 1 s each. */
  private static final long WORKER_RETURN_MICROS = 7_000_000;

  /** How long less urgent work is deferred: enough time for the event queue to drain. */
  private static final long DEFERRAL_MICROS = 10_000_000;

  private final EffectSink sink;
  private final long recoveryMicros;
  private long overloadedUntilMicros = Long.MIN_VALUE;
  private long deferringUntilMicros = Long.MIN_VALUE;
  private boolean overloaded;

  public OverloadMonitor(Settings settings, EffectSink sink) {
    this.sink = sink;
    this.recoveryMicros = settings.workerTimings().heartbeatMicros() * 3 / 2 + WORKER_RETURN_MICROS;
  }

  /** Records that this node is overloaded at the given time. */
  public void recordOverload(Event.Overloaded event, long nowMicros) {
    overloadedUntilMicros = nowMicros + recoveryMicros;
    if (event.waitingEvents() > 0) {
      deferringUntilMicros = nowMicros + DEFERRAL_MICROS;
    }
    if (!overloaded) {
      overloaded = true;
      sink.info(
          "node is overloaded refused_connections="
              + event.refusedConnections()
              + " waiting_events="
              + event.waitingEvents());
    }
  }

  /** Returns whether events recently waited too long, so that less urgent work is deferred. */
  public boolean defersWork(long nowMicros) {
    return nowMicros < deferringUntilMicros;
  }

  /** Returns whether this node's own overload may be the cause of missing heartbeats. */
  boolean mayCauseMissingHeartbeats(long nowMicros) {
    if (overloaded && nowMicros >= overloadedUntilMicros) {
      overloaded = false;
      sink.info("node is no longer overloaded");
    }
    return overloaded;
  }
}
