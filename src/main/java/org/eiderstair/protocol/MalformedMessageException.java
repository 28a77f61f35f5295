package org.eiderstair.protocol;

/** A message that breaks the protocol; says where. */
public final class MalformedMessageException extends Exception {
  private static final long serialVersionUID = 1L;

  public MalformedMessageException(String message) {
    super(message, null, false, false);
  }
}
