package org.eiderstair.core.record;

/**
 * A known key holds what this version cannot read: its writer is broken or much newer.
 *
 * @param problem the field and what is wrong with it
 */
public record UnreadableValue(String problem) implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.unreadable(this);
  }
}
