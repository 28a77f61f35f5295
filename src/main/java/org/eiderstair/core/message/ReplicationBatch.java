package org.eiderstair.core.message;

import java.util.List;

/**
 * Changes of the leader's picture, in their order. Numbers go up by one for each change of a
 * filling; a filling begins with all that the leader knows, and a later one replaces it.
 *
 * @param term the leader's
 * @param filling numbers the leader's fillings; late copies of an earlier one are told by it
 * @param first the number of the first change here, from 1
 * @param more the filling's beginning is not whole yet
 */
public record ReplicationBatch(
    long term, long filling, long first, boolean more, List<Change> changes) {

  /**
   * Something may be on a machine, or is certainly not any more. With an empty job: the machine is
   * known, in that session.
   */
  public record Change(
      boolean there, String machine, long incarnation, String job, int index, long attempt) {}

  /** What the standby answers. Not accepted: it needs another filling, or follows nobody now. */
  public record Ack(String run, boolean accepted, long upTo) {}

  /** The sequence of its last change. */
  public long last() {
    return first + changes.size() - 1;
  }
}
