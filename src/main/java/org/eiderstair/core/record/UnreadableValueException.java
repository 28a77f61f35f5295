package org.eiderstair.core.record;

/** Thrown when a stored value does not have the format that its key requires. */
public final class UnreadableValueException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * @param problem the field, followed by a description of the error
   */
  public UnreadableValueException(String problem) {
    super(problem);
  }
}
