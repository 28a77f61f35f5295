package org.eiderstair.core.record;

/** A registered worker: a machine on which tasks may be. */
public record WorkerRecord(String address, String type, String zone, boolean spot)
    implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.worker(this);
  }
}
