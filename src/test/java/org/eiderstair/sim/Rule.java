package org.eiderstair.sim;

/**
 * The rules that must hold throughout a simulated day, with the names used in
 * docs/fault-scenarios.md.
 */
enum Rule {
  /** A task runs on one machine at a time. */
  RAN_TWICE,
  /** The running tasks of a team stay within its limit. */
  QUOTA,
  /** A task runs only where its job allows: machine type, zone and spread over zones. */
  WRONG_PLACE,
  /** No task of a job runs once its confirmed cancellation is older than the bound. */
  RAN_CANCELLED,
  /** A final state that was answered does not change; a job is cancelled only on request. */
  WENT_BACK,
  /** A job is answered as done only if all of its tasks are. */
  NOT_DONE,
  /** An accepted job is never unknown, and a valid or repeated submission is never refused. */
  FORGOTTEN,
  /** A job that nobody submitted is not known. */
  INVENTED,
  /** A job that can never run is not accepted. */
  ACCEPTED_IMPOSSIBLE,
  /** Rentals and releases are durable before the cloud is asked for them. */
  UNWRITTEN,
  /** A machine that a later leader uses is not released by an earlier one. */
  LATE_DELETE,
  /** Once all faults are over, no job waits for long while there are free resources for it. */
  WAITS_BESIDE_ROOM,
  /** Once all faults are over, polls are answered. */
  UNANSWERED,
  /** The largest jobs start within minutes, also during faults. */
  LARGEST_DELAYED
}
