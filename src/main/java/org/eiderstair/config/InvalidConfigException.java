package org.eiderstair.config;

/** Settings that cannot be used: which field, and what is wrong with it, in one line. */
public final class InvalidConfigException extends Exception {
  private static final long serialVersionUID = 1L;

  private final String field;

  /**
   * @param field the full name of the setting, or the file when the whole of it cannot be read
   * @param problem what is wrong with it
   */
  public InvalidConfigException(String field, String problem) {
    super(field + ": " + problem);
    this.field = field;
  }

  /** The full name of the setting that is wrong, or the file that cannot be read. */
  public String field() {
    return field;
  }
}
