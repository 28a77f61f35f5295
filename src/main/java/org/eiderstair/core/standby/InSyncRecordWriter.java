package org.eiderstair.core.standby;

import org.eiderstair.core.record.StandbyRecord;

/**
 * Writes the record that names the standby in sync, by compare-and-swap on its version and this
 * leader's key. At most one request is in flight.
 */
final class InSyncRecordWriter {
  private static final long RETRY_MICROS = 200_000;

  private final Standby.Host host;
  private final long term;
  private final Runnable onTakenOver;

  /** The record's version as this leader knows it; 0 when there is no record. */
  private long version;

  private boolean requestInFlight;
  private long nextWriteMicros;
  private long now;

  /**
   * @param version the record's version when the term began; 0 when there is no record
   * @param onTakenOver runs when the record shows that the standby has taken over this term
   */
  InSyncRecordWriter(Standby.Host host, long term, long version, Runnable onTakenOver) {
    this.host = host;
    this.term = term;
    this.version = version;
    this.onTakenOver = onTakenOver;
  }

  void setNow(long nowMicros) {
    now = nowMicros;
  }

  /**
   * Writes a record that names a node and its run, or no standby when the node's name is empty.
   * Does nothing while another request is in flight or shortly after a failed write; the caller
   * repeats the call.
   *
   * @param onWritten runs when the record has been written
   */
  void write(String node, String runId, Runnable onWritten) {
    if (requestInFlight || now < nextWriteMicros) {
      return;
    }
    requestInFlight = true;
    StandbyRecord record = new StandbyRecord(term, node, runId);
    host.write(version, record, outcome -> handleWrite(outcome, onWritten));
  }

  private void handleWrite(RecordWrite outcome, Runnable onWritten) {
    requestInFlight = false;
    if (outcome instanceof RecordWrite.Written success) {
      version = success.version();
      onWritten.run();
      return;
    }
    nextWriteMicros = now + RETRY_MICROS;
    if (outcome instanceof RecordWrite.Uncertain) {
      requestInFlight = true;
      host.read(this::handleRead);
    }
  }

  private void handleRead(RecordRead outcome) {
    requestInFlight = false;
    if (outcome instanceof RecordRead.Found found) {
      if (found.record().takenOver()) {
        // No launch may be sent any more, even if this leader's lease has not expired.
        onTakenOver.run();
        return;
      }
      version = found.version();
    } else if (outcome instanceof RecordRead.Absent) {
      version = 0;
    }
    nextWriteMicros = now;
  }
}
