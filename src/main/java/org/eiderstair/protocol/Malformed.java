package org.eiderstair.protocol;

/** A message that breaks the protocol; says where. */
public final class Malformed extends Exception {
  private static final long serialVersionUID = 1L;

  public Malformed(String message) {
    super(message, null, false, false);
  }
}
