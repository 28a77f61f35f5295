package org.eiderstair.core.message;

import org.eiderstair.core.model.JobSpec;

/**
 * A decoded submission. The id is known even if the rest is malformed. A repeated submission of an
 * accepted job must be answered with that job, regardless of the submission's other fields.
 */
public sealed interface Submission {

  /** Returns the id that the user gave the job. */
  String id();

  /** A completely decoded submission, not yet validated. */
  record Parsed(JobSpec spec) implements Submission {
    @Override
    public String id() {
      return spec.id();
    }
  }

  /**
   * A submission of which only the id could be decoded.
   *
   * @param id the id of the job
   * @param fault the malformed field and the reason, for the user
   */
  record Malformed(String id, String fault) implements Submission {}
}
