package org.eiderstair.core.record;

/** The value of a key that this version does not know. */
public record ForeignValue() implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.foreign(this);
  }
}
