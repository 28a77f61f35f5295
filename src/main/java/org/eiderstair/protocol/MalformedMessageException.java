package org.eiderstair.protocol;

import java.util.Optional;

/** A message breaks the protocol: as a whole, or in one field. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  /** The field's name on the wire; null when the message as a whole is malformed. */
  private final String field;

  private final String problem;

  /** The message as a whole is malformed. */
  public MalformedMessageException(String problem) {
    super(problem, null, false, false);
    this.field = null;
    this.problem = problem;
  }

  /**
   * One field is malformed.
   *
   * @param field its name on the wire
   * @param problem what is wrong with it, to follow the name in a sentence
   */
  public MalformedMessageException(String field, String problem) {
    super(field + " " + problem, null, false, false);
    this.field = field;
    this.problem = problem;
  }

  /** The name on the wire of the field that is malformed, if it is one. */
  public Optional<String> field() {
    return Optional.ofNullable(field);
  }

  /** What is wrong, without the field's name. */
  public String problem() {
    return problem;
  }
}
