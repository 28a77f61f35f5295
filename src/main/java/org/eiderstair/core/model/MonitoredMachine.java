package org.eiderstair.core.model;

/** The properties of a machine that the classification of silent machines uses. */
public interface MonitoredMachine {
  /** Returns the name of the machine. */
  String machine();

  /** Returns the zone of the machine. */
  String zone();

  /**
   * Returns the time at which the leader last received a heartbeat of the machine, directly or
   * through a peer; {@link Long#MAX_VALUE} for a machine that is still booting.
   */
  long lastHeartbeatMicros();

  /** Returns whether the machine may hold work of earlier terms, not yet confirmed. */
  boolean unconfirmed();
}
