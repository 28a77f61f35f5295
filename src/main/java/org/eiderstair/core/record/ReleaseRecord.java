package org.eiderstair.core.record;

import java.util.List;

/**
 * Machines that are released, written before the cloud is asked.
 *
 * @param term the one that decided it
 */
public record ReleaseRecord(long term, List<String> machines) implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.release(this);
  }
}
