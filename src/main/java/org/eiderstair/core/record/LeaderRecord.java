package org.eiderstair.core.record;

/**
 * Who leads. The version of its key is the term.
 *
 * @param lease to which the key is attached: it is removed when the lease expires
 * @param runId identifies the process, since a restarted node has the same name
 */
public record LeaderRecord(String node, long lease, String runId) implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.leader(this);
  }
}
