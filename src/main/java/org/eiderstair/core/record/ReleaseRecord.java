package org.eiderstair.core.record;

import java.util.List;

/**
 * A decision to release machines, written before the request to the cloud.
 *
 * @param term the term of the leader that made the decision
 * @param machines the names of the machines to release
 */
public record ReleaseRecord(long term, List<String> machines) implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.release(this);
  }
}
