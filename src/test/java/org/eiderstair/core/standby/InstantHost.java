package org.eiderstair.core.standby;

import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.LongConsumer;

/**
 * A leader whose picture is whole and whose records are written at once; what it tells whom is for
 * the test to say.
 */
public abstract class InstantHost implements Standby.Host {
  @Override
  public boolean hasCompleteState() {
    return true;
  }

  @Override
  public void write(long version, Map<String, Object> record, LongConsumer callback) {
    callback.accept(version + 1);
  }

  @Override
  public void read(BiConsumer<Long, Map<String, Object>> callback) {}

  @Override
  public void termTakenOver() {}

  @Override
  public void info(String text) {}
}
