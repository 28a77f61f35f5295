package org.eiderstair.core.record;

/**
 * The value of the write barrier key. Only the version of the key matters: every transaction of a
 * leader's state writer requires the known version.
 *
 * @param term the term of the leader that wrote the barrier
 */
public record BarrierRecord(long term) implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.barrier(this);
  }
}
