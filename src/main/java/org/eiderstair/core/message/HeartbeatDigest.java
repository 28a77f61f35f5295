package org.eiderstair.core.message;

import java.util.List;

/**
 * What a node tells a peer of the machines that it hears by itself.
 *
 * @param run differs for every run of the node: numbers of another run mean nothing
 * @param whole these changes start from nothing, and replace all that was told before
 * @param last the number of the last change told
 * @param more there are changes after that
 */
public record HeartbeatDigest(
    String run, boolean whole, long last, boolean more, List<Change> changes) {

  /** A machine is heard, or not any more, for so long. */
  public record Change(String machine, boolean heard, long forMicros) {}
}
