package org.eiderstair.sim;

/** What must hold at every moment of a simulated day, by the names of docs/fault-scenarios.md. */
enum Rule {
  /** A task runs on one machine at a time. */
  RAN_TWICE,
  /** What a team runs stays within its limit. */
  QUOTA,
  /** A task runs only on a machine type, in a zone and beside others as its job asks. */
  WRONG_PLACE,
  /** Nothing of a job runs once its confirmed cancellation is older than the bound. */
  RAN_CANCELLED,
  /** A final state, once answered, stays; only its user cancels a job. */
  WENT_BACK,
  /** A job is answered as done only if all of its tasks are. */
  NOT_DONE,
  /** An accepted job, or one that is asked for again, is never refused or unknown. */
  FORGOTTEN,
  /** A job that nobody submitted is not known. */
  INVENTED,
  /** A job that can never run is not accepted. */
  ACCEPTED_IMPOSSIBLE,
  /** Rentals and releases are durable before the cloud is asked for them. */
  UNWRITTEN,
  /** A machine that a later leader uses is not released by an earlier one. */
  LATE_DELETE,
  /** Once all faults are over no job waits for long while there is room for it. */
  WAITS_BESIDE_ROOM,
  /** Once all faults are over questions are answered. */
  UNANSWERED,
  /** The largest jobs begin within minutes, also during faults. */
  LARGEST_DELAYED
}
