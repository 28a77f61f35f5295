package org.eiderstair.core.message;

import java.util.List;

/**
 * Changes of the leader's state for its standby, in their order. Sequence numbers go up by one for
 * each change since the beginning of a snapshot; a later snapshot replaces an earlier one.
 *
 * @param term the leader's term
 * @param snapshot numbers the snapshots of a term, so that late copies of an earlier one are known
 * @param firstSequence the sequence number of the first change here, from 1
 * @param snapshotIncomplete whether more of the snapshot follows in later batches
 * @param changes may be empty: then the batch only shows that the leader is alive
 */
public record ReplicationBatch(
    long term,
    long snapshot,
    long firstSequence,
    boolean snapshotIncomplete,
    List<Change> changes) {

  /**
   * An attempt may be on a machine, or is certainly not there any more. With an empty job the
   * change is about the machine itself: it is known in that incarnation, or has left the cluster.
   */
  public record Change(
      boolean present, String machine, long incarnation, String job, int index, long attempt) {}

  /**
   * A follower's answer to a batch.
   *
   * @param runId the run of the node that answers
   * @param accepted false when it needs another snapshot, or follows nobody now
   * @param throughSequence the sequence number up to which it has all changes; 0 if not accepted
   */
  public record Ack(String runId, boolean accepted, long throughSequence) {}

  /** The sequence number of the last change; one less than the first when there is none. */
  public long lastSequence() {
    return firstSequence + changes.size() - 1;
  }
}
