package org.eiderstair.core.model;

/**
 * Identifies a task of a job.
 *
 * @param job the id of the job
 * @param index the index of the task in the job, from 0
 */
public record TaskId(String job, int index) {
  // Written by hand: the methods generated for a record are linked at run time. TaskId is the most
  // frequently used map key.
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

  /** Parses {@code job/index}; returns null if the text has another form. */
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
