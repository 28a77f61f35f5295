package org.eiderstair.core.provisioning;

/** The outcome of a request to delete machines. */
public enum DeletionResult {
  /** The machines are deleted. */
  CONFIRMED,

  /** The request was certainly not carried out. */
  REFUSED,

  /** There is no usable answer; the request may have been carried out, or may yet be. */
  NO_ANSWER
}
