package org.eiderstair.sim;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Recognizes the log lines of controllers on which checks of the simulator depend. Tests assert
 * that both lines are still recognized; otherwise these checks would pass without checking
 * anything.
 */
final class ControllerLog {
  private static final Pattern UNREACHABLE =
      Pattern.compile("scaling in machine=([^:]+): unreachable: .*");
  private static final Pattern ELECTED = Pattern.compile(".* -> SYNCHRONIZING .*: elected");

  private ControllerLog() {}

  /**
   * Returns the machine that a leader releases as unreachable, or empty if the line logs no such
   * release.
   */
  static Optional<String> machineReleasedAsUnreachable(String text) {
    Matcher matcher = UNREACHABLE.matcher(text);
    return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  /** Returns whether the line logs that a controller was elected. */
  static boolean isElection(String text) {
    return ELECTED.matcher(text).matches();
  }
}
