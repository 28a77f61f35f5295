package org.eiderstair.core.message;

import java.util.List;

/**
 * Ordered changes of the leader's state, sent to its standby. The sequence number increases by one
 * with each change since the start of a snapshot. A later snapshot replaces an earlier one.
 *
 * @param term the leader's term
 * @param snapshot the number of the snapshot in the term, to detect late copies of an earlier one
 * @param firstSequence the sequence number of the first change in this batch, from 1
 * @param snapshotIncomplete whether later batches contain more of the snapshot
 * @param changes the changes; an empty list only shows that the leader is alive
 */
public record ReplicationBatch(
    long term,
    long snapshot,
    long firstSequence,
    boolean snapshotIncomplete,
    List<Change> changes) {

  /**
   * A change about an attempt or, with an empty job, about a machine.
   *
   * @param present for an attempt, whether it may be on the machine or is certainly gone; for a
   *     machine, whether it is known in this incarnation or has left the cluster
   */
  public record Change(
      boolean present, String machine, long incarnation, String job, int index, long attempt) {}

  /**
   * The answer of the standby to a batch.
   *
   * @param runId the run of the answering node
   * @param accepted false if the node needs another snapshot or follows no leader
   * @param throughSequence the sequence number up to which the node holds all changes; 0 if not
   *     accepted
   */
  public record Ack(String runId, boolean accepted, long throughSequence) {}

  /** Returns the sequence number of the last change; {@code firstSequence - 1} if there is none. */
  public long lastSequence() {
    return firstSequence + changes.size() - 1;
  }
}
