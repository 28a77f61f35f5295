package org.eiderstair.core.record;

import java.util.BitSet;
import org.eiderstair.core.model.TaskSet;

/**
 * The progress of an open job.
 *
 * @param doneTasks the finished tasks, encoded as a {@link TaskSet}
 * @param running the number of running tasks, as shown to the user of the job
 */
public record ProgressRecord(String doneTasks, int running) implements StoredValue {

  /** Returns the progress record of a job with these finished tasks. */
  public static ProgressRecord of(BitSet done, int running) {
    return new ProgressRecord(TaskSet.write(done), running);
  }

  /**
   * Returns the finished tasks.
   *
   * @throws IllegalArgumentException when {@code doneTasks} is not a valid task set
   */
  public BitSet done() {
    return TaskSet.read(doneTasks);
  }

  @Override
  public <T> T accept(Visitor<T> visitor) {
    return visitor.progress(this);
  }
}
