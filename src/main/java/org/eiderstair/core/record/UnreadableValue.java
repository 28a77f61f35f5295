package org.eiderstair.core.record;

/**
 * The value of a known key that this version cannot decode, from a faulty or much newer writer.
 *
 * @param problem the field, followed by a description of the error
 */
public record UnreadableValue(String problem) implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.unreadable(this);
  }
}
