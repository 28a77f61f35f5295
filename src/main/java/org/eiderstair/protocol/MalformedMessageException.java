package org.eiderstair.protocol;

import java.util.Optional;
import java.util.OptionalLong;

/** Thrown when a message, or one of its fields, does not conform to the protocol. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  private static final long UNKNOWN_OFFSET = -1;

  /** The name of the field on the wire; null when the message as a whole is malformed. */
  private final String field;

  private final String problem;

  /** The number of bytes read before the problem; negative when it is unknown. */
  private final long offsetBytes;

  /** Creates an exception for a message that is malformed as a whole. */
  public MalformedMessageException(String problem) {
    super(problem, null, false, false);
    this.field = null;
    this.problem = problem;
    this.offsetBytes = UNKNOWN_OFFSET;
  }

  /**
   * Creates an exception for one malformed field.
   *
   * @param field the name of the field on the wire
   * @param problem a predicate that follows the name, such as "is not a map"
   */
  public MalformedMessageException(String field, String problem) {
    super(field + " " + problem, null, false, false);
    this.field = field;
    this.problem = problem;
    this.offsetBytes = UNKNOWN_OFFSET;
  }

  private MalformedMessageException(MalformedMessageException cause, long offsetBytes) {
    super(cause.getMessage(), null, false, false);
    this.field = cause.field;
    this.problem = cause.problem;
    this.offsetBytes = offsetBytes;
  }

  /** Returns the same exception with the number of bytes that were read before the problem. */
  MalformedMessageException atOffset(long readBytes) {
    return new MalformedMessageException(this, readBytes);
  }

  /** Returns the number of bytes that were read before the problem; empty when it is unknown. */
  public OptionalLong offsetBytes() {
    return offsetBytes == UNKNOWN_OFFSET ? OptionalLong.empty() : OptionalLong.of(offsetBytes);
  }

  /**
   * Returns the name of the malformed field on the wire, or empty when the message as a whole is
   * malformed.
   */
  public Optional<String> field() {
    return Optional.ofNullable(field);
  }

  /** Returns the description of the problem without the name of the field. */
  public String problem() {
    return problem;
  }
}
