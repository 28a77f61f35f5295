package org.eiderstair.core.record;

/**
 * Names the standby that holds all of the leader's state.
 *
 * @param term the term of the leader that wrote the record; 0 when the stored value has no term
 * @param node the name of the standby; empty or null when there is none
 * @param runId identifies the process of the standby
 * @param takenOver whether the standby has ended the term
 * @param unknownFields fields added by a newer version
 */
public record StandbyRecord(
    long term, String node, String runId, boolean takenOver, UnknownFields unknownFields)
    implements StoredValue {

  /** Creates a record of a term that the standby has not ended. */
  public StandbyRecord(long term, String node, String runId) {
    this(term, node, runId, false, UnknownFields.NONE);
  }

  /** Returns whether the record names a standby. */
  public boolean namesStandby() {
    return node != null && !node.isEmpty();
  }

  /** Returns whether the record names this process of this node as the standby. */
  public boolean names(String otherNode, String otherRunId) {
    return otherNode.equals(node) && otherRunId.equals(runId);
  }

  /**
   * Returns a copy of the record with which the standby takes over. Once the copy is stored, the
   * leader can neither drop this standby nor launch tasks in parallel with it.
   */
  public StandbyRecord withTakeover() {
    return new StandbyRecord(term, node, runId, true, unknownFields);
  }

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.standby(this);
  }
}
