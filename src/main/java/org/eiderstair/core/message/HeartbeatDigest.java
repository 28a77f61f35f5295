package org.eiderstair.core.message;

import java.util.List;

/**
 * Which machines send their heartbeats to a node directly, as numbered changes since an earlier
 * digest.
 *
 * @param runId the run of the node; sequence numbers of another run mean nothing
 * @param full whether the changes start from nothing, and replace all earlier ones
 * @param lastSequence the sequence number up to which these changes go
 * @param more whether there are changes after that
 */
public record HeartbeatDigest(
    String runId, boolean full, long lastSequence, boolean more, List<Change> changes) {

  /** For so long a machine has been reachable, or has not been any more. */
  public record Change(String machine, boolean reachable, long durationMicros) {}
}
