package org.eiderstair.core.record;

/**
 * The value of the leader key. The version of the key is the term.
 *
 * @param node the name of the leading node
 * @param lease the lease to which the key is attached; the key is removed when the lease expires
 * @param runId identifies the process, because a restarted node keeps its name
 */
public record LeaderRecord(String node, long lease, String runId) implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.leader(this);
  }
}
