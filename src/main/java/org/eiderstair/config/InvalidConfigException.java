package org.eiderstair.config;

/** Signals an invalid setting. The message is one line: the field, a colon and the problem. */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /**
   * Creates an exception for one setting or file.
   *
   * @param field the full name of the setting, or the file if it cannot be read or parsed
   * @param problem the reason why the setting or file cannot be used
   */
  public InvalidConfigException(String field, String problem) {
    super(field + ": " + problem);
    this.field = field;
  }

  /** Returns the full name of the invalid setting, or the file that cannot be read or parsed. */
  public String field() {
    return field;
  }
}
