package org.eiderstair.core.model;

/**
 * A task of a job.
 *
 * @param job the job's id
 * @param index its number in the job, from 0
 */
public record TaskId(String job, int index) {
  // Written out: the ones a record makes are linked at run time, and this is the busiest key of
  // all.
  @Override
  public boolean equals(Object other) {
    return other instanceof TaskId that && index == that.index && job.equals(that.job);
  }

  @Override
  public int hashCode() {
    return job.hashCode() * 31 + index;
  }

  @Override
  public String toString() {
    return job + "/" + index;
  }

  /** Reads {@code job/index}; null when the text has another form. */
  public static TaskId parse(String text) {
    int slash = text.lastIndexOf('/');
    if (slash <= 0 || slash == text.length() - 1 || text.length() - slash > 7) {
      return null;
    }
    int index = 0;
    for (int i = slash + 1; i < text.length(); i++) {
      char c = text.charAt(i);
      if (c < '0' || c > '9') {
        return null;
      }
      index = index * 10 + (c - '0');
    }
    return new TaskId(text.substring(0, slash), index);
  }
}
