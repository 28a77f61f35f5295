package org.eiderstair.core.message;

import org.eiderstair.core.model.JobSpec;

/**
 * A submission as it was read. Its id is known in either case, since a repeated submission of an
 * accepted job must be answered with that job, whatever else it holds.
 */
public sealed interface Submission {

  /** The id that the user gave the job. */
  String id();

  /** All of it could be read; whether it can be accepted is not checked yet. */
  record Parsed(JobSpec spec) implements Submission {
    @Override
    public String id() {
      return spec.id();
    }
  }

  /**
   * Only the id could be read.
   *
   * @param fault the field that is wrong and why, for the user
   */
  record Malformed(String id, String fault) implements Submission {}
}
