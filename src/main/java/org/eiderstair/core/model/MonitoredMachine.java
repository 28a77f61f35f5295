package org.eiderstair.core.model;

/** What the classification of a silent machine needs to know of it. */
public interface MonitoredMachine {
  /** The machine's name. */
  String machine();

  /** The zone that it is in. */
  String zone();

  /**
   * When the leader last received a heartbeat of it, directly or through a peer; {@link
   * Long#MAX_VALUE} for one that has yet to come up.
   */
  long lastHeartbeatMicros();

  /** Whether it may hold work of earlier terms that no heartbeat has confirmed yet. */
  boolean unconfirmed();
}
