package org.eiderstair.core.record;

/** The value of a key that this version does not know; the fields of the value are not kept. */
public record UnknownKeyValue() implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.unknownKey(this);
  }
}
