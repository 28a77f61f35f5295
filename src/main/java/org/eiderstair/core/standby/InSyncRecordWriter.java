package org.eiderstair.core.standby;

import org.eiderstair.core.record.StandbyRecord;

/**
 * Writes the record that names the standby in sync, by compare-and-swap on its version and this
 * leader's key. Of several writes that are wanted one at a time is on its way.
 */
final class InSyncRecordWriter {
  private static final long RETRY_MICROS = 200_000;

  private final Standby.Host host;
  private final long term;
  private final Runnable takenOver;

  /** As this leader knows it; 0 when there is no record. */
  private long version;

  private boolean busy;
  private long nextWriteMicros;
  private long now;

  /**
   * @param takenOver runs when the record shows that the standby has taken over this term
   */
  InSyncRecordWriter(Standby.Host host, long term, long version, Runnable takenOver) {
    this.host = host;
    this.term = term;
    this.version = version;
    this.takenOver = takenOver;
  }

  void at(long nowMicros) {
    now = nowMicros;
  }

  /**
   * Names a node and its run, or nobody when the node's name is empty; does nothing while another
   * write is on its way, or has just failed.
   */
  void write(String node, String runId, Runnable written) {
    if (busy || now < nextWriteMicros) {
      return;
    }
    busy = true;
    StandbyRecord record = new StandbyRecord(term, node, runId);
    host.write(version, record, outcome -> finished(outcome, written));
  }

  private void finished(RecordWrite outcome, Runnable written) {
    busy = false;
    if (outcome instanceof RecordWrite.Written success) {
      version = success.version();
      written.run();
      return;
    }
    nextWriteMicros = now + RETRY_MICROS;
    if (outcome instanceof RecordWrite.Uncertain) {
      busy = true;
      host.read(this::readAgain);
    }
  }

  private void readAgain(RecordRead outcome) {
    busy = false;
    if (outcome instanceof RecordRead.Found found) {
      if (found.record().takenOver()) {
        // Nothing may be launched any more, whatever the lease says.
        takenOver.run();
        return;
      }
      version = found.version();
    } else if (outcome instanceof RecordRead.Absent) {
      version = 0;
    }
    nextWriteMicros = now;
  }
}
