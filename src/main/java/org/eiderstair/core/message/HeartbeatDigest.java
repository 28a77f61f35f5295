package org.eiderstair.core.message;

import java.util.List;

/**
 * The machines that send their heartbeats to a node directly, as numbered changes since an earlier
 * digest.
 *
 * @param runId the run of the node; sequence numbers of different runs are not comparable
 * @param full whether the changes start from an empty set and replace all earlier ones
 * @param lastSequence the sequence number up to which the changes are included
 * @param more whether there are changes after {@code lastSequence}
 * @param changes the changes, in the order of their sequence numbers
 */
public record HeartbeatDigest(
    String runId, boolean full, long lastSequence, boolean more, List<Change> changes) {

  /**
   * A machine that became reachable or unreachable.
   *
   * @param durationMicros the time for which the machine has been in this state
   */
  public record Change(String machine, boolean reachable, long durationMicros) {}
}
