package org.eiderstair.core.record;

/** A stored value has not the form that its key demands. */
public final class UnreadableValueException extends RuntimeException {
  private static final long serialVersionUID = 1;

  /**
   * @param problem the field and what is wrong with it
   */
  public UnreadableValueException(String problem) {
    super(problem);
  }
}
