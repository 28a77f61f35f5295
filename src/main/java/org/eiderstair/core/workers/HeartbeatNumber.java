package org.eiderstair.core.workers;

import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Machine;

/** The numbers that order the heartbeats of one worker. */
record HeartbeatNumber(long incarnation, long sequence) {

  /** Returns the numbers of the newest heartbeat of a machine. */
  static HeartbeatNumber newestOf(Machine machine) {
    return new HeartbeatNumber(machine.incarnation(), machine.sequence());
  }

  /**
   * Returns whether a heartbeat that was written after this one has higher numbers, as all later
   * heartbeats of the same worker have.
   */
  boolean isFollowedBy(Heartbeat later) {
    return later.isNewerThan(incarnation, sequence);
  }
}
