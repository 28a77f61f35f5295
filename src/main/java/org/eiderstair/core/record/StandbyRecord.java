package org.eiderstair.core.record;

/**
 * The standby that holds all of the leader's state.
 *
 * @param term of the leader that wrote it; 0 when it names none
 * @param node the standby, or empty when there is none
 * @param runId identifies the standby's process
 * @param takenOver whether the standby has ended the term
 * @param unknownFields what a newer version has added
 */
public record StandbyRecord(
    long term, String node, String runId, boolean takenOver, UnknownFields unknownFields)
    implements StoredValue {

  /** A record that the standby has not ended. */
  public StandbyRecord(long term, String node, String runId) {
    this(term, node, runId, false, UnknownFields.NONE);
  }

  /** Whether it names a standby. */
  public boolean namesStandby() {
    return node != null && !node.isEmpty();
  }

  /** Whether it names that process of that node. */
  public boolean names(String otherNode, String otherRunId) {
    return otherNode.equals(node) && otherRunId.equals(runId);
  }

  /**
   * The same record, with which the standby takes over: its leader can neither drop it nor launch
   * beside it.
   */
  public StandbyRecord withTakeover() {
    return new StandbyRecord(term, node, runId, true, unknownFields);
  }

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.standby(this);
  }
}
