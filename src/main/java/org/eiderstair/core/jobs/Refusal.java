package org.eiderstair.core.jobs;

/**
 * Why a new job is not accepted.
 *
 * @param status 400 for a malformed submission, 422 for a job that can never run here
 * @param reason for the user
 */
record Refusal(int status, String reason) {
  private static final int MALFORMED = 400;
  private static final int INVALID = 422;

  static Refusal malformed(String fault) {
    return new Refusal(MALFORMED, fault);
  }

  static Refusal invalid(String reason) {
    return new Refusal(INVALID, reason);
  }
}
