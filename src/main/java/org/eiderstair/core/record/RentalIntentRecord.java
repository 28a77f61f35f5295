package org.eiderstair.core.record;

import java.util.List;

/**
 * A decision to rent machines, written before the request to the cloud.
 *
 * @param count the number of machines to rent
 * @param term the term of the leader that made the decision
 * @param decidedWallClockMicros the wall clock time of the decision
 * @param machines the machines that the cloud granted and no other record covers yet; null until
 *     the cloud has granted the rental
 */
public record RentalIntentRecord(
    String type,
    String zone,
    boolean spot,
    int count,
    long term,
    long decidedWallClockMicros,
    List<String> machines)
    implements StoredValue {

  /** Returns whether the cloud has granted the rental. */
  public boolean granted() {
    return machines != null;
  }

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.rentalIntent(this);
  }
}
