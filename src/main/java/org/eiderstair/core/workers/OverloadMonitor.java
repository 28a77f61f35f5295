package org.eiderstair.core.workers;

import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.settings.Settings;

/**
 * Remembers when this node was overloaded last. While it is, and until the workers that it turned
 * away can have come back, heartbeats that do not arrive say nothing about machines or the network.
 */
public final class OverloadMonitor {
  /** Three attempts of a worker at other nodes, a second each, after its time limit of 4 s. */
  private static final long RETURN_MICROS = 7_000_000;

  /** Long enough for the queue to become short. */
  private static final long BEHIND_MICROS = 10_000_000;

  private final EffectSink sink;
  private final long recoveryMicros;
  private long overloadedUntilMicros = Long.MIN_VALUE;
  private long behindUntilMicros = Long.MIN_VALUE;
  private boolean overloaded;

  public OverloadMonitor(Settings settings, EffectSink sink) {
    this.sink = sink;
    this.recoveryMicros = settings.workerTimings().heartbeatMicros() * 3 / 2 + RETURN_MICROS;
  }

  /** Notes that this node is overloaded at this moment. */
  public void noteOverload(Event.Overloaded event, long nowMicros) {
    overloadedUntilMicros = nowMicros + recoveryMicros;
    if (event.waitingEvents() > 0) {
      behindUntilMicros = nowMicros + BEHIND_MICROS;
    }
    if (!overloaded) {
      overloaded = true;
      sink.info(
          "overloaded: refused_connections="
              + event.refusedConnections()
              + " waiting_events="
              + event.waitingEvents());
    }
  }

  /** Whether events wait for so long that what is not urgent is put off. */
  public boolean putsOffWork(long nowMicros) {
    return nowMicros < behindUntilMicros;
  }

  /** Whether missing heartbeats may be due to this node's own overload. */
  boolean explainsSilence(long nowMicros) {
    if (overloaded && nowMicros >= overloadedUntilMicros) {
      overloaded = false;
      sink.info("overload is over");
    }
    return overloaded;
  }
}
