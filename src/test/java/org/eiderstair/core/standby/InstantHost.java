package org.eiderstair.core.standby;

import java.util.function.Consumer;
import org.eiderstair.core.record.StandbyRecord;

/**
 * A leader whose state is complete and whose records are written at once. The test implements the
 * snapshot and the transport of batches.
 */
public abstract class InstantHost implements Standby.Host {
  @Override
  public boolean hasCompleteState() {
    return true;
  }

  @Override
  public void write(long version, StandbyRecord record, Consumer<RecordWrite> callback) {
    callback.accept(new RecordWrite.Written(version + 1));
  }

  @Override
  public void read(Consumer<RecordRead> callback) {}

  @Override
  public void termTakenOver() {}

  @Override
  public void info(String text) {}
}
