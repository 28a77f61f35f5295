package org.eiderstair.core.record;

import java.util.List;

/**
 * A rental, written before the cloud is asked.
 *
 * @param term the one that decided it
 * @param decidedDayMicros when, by the time of day
 * @param machines those of the cloud's answer that no other record tells of; null before that
 */
public record RentalIntentRecord(
    String type,
    String zone,
    boolean spot,
    int count,
    long term,
    long decidedDayMicros,
    List<String> machines)
    implements StoredValue {

  /** Whether the cloud has granted it. */
  public boolean granted() {
    return machines != null;
  }

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.rentalIntent(this);
  }
}
