package org.eiderstair.core.record;

import java.util.BitSet;
import org.eiderstair.core.model.TaskSet;

/**
 * How far an open job is.
 *
 * @param doneTasks the finished tasks in the form of {@link TaskSet}
 * @param running how many tasks are running, for its user
 */
public record ProgressRecord(String doneTasks, int running) implements StoredValue {

  /** The progress of a job with these finished tasks. */
  public static ProgressRecord of(BitSet done, int running) {
    return new ProgressRecord(TaskSet.write(done), running);
  }

  /**
   * The finished tasks.
   *
   * @throws IllegalArgumentException when their text has no known form
   */
  public BitSet done() {
    return TaskSet.read(doneTasks);
  }

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.progress(this);
  }
}
