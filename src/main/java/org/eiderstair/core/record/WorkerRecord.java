package org.eiderstair.core.record;

/** The registration of a worker: a machine on which tasks may run. */
public record WorkerRecord(String address, String type, String zone, boolean spot)
    implements StoredValue {

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.worker(this);
  }
}
