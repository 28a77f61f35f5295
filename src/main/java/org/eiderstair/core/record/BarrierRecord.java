package org.eiderstair.core.record;

/**
 * The value of the write barrier. Only its version matters: every transaction of a leader demands
 * it.
 */
public record BarrierRecord(long term) implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.barrier(this);
  }
}
