package org.eiderstair.core.provisioning;

/** The result of a request to delete machines. */
public enum DeletionResult {
  /** The machines are deleted. */
  CONFIRMED,

  /** The cloud refused the request, so it was certainly not executed. */
  REFUSED,

  /** No usable response arrived. The request may have been executed or may be executed later. */
  NO_ANSWER
}
