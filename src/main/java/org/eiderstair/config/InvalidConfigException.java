package org.eiderstair.config;

/** Settings that cannot be used; the message names the field and the reason. */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  public InvalidConfigException(String message) {
    super(message);
  }
}
