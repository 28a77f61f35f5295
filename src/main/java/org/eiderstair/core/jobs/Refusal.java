package org.eiderstair.core.jobs;

/**
 * The reason why a new job is not accepted.
 *
 * @param status HTTP status: 400 for a malformed submission, 422 for a job that can never run in
 *     this deployment
 * @param reason the text that the user sees
 */
record Refusal(int status, String reason) {
  private static final int MALFORMED = 400;
  private static final int INVALID = 422;

  /** Returns the refusal of a submission that cannot be parsed. */
  static Refusal malformed(String reason) {
    return new Refusal(MALFORMED, reason);
  }

  /** Returns the refusal of a job that can never run in this deployment. */
  static Refusal invalid(String reason) {
    return new Refusal(INVALID, reason);
  }
}
