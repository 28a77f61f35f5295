package org.eiderstair.sim;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * What the simulator reads from controllers' logs. Tests show that both are still recognised: else
 * checks that rest on them would pass without looking.
 */
final class ControllerLog {
  private static final Pattern UNREACHABLE =
      Pattern.compile("scaling in machine=([^:]+): unreachable: .*");
  private static final Pattern ELECTED = Pattern.compile(".* -> SYNCHRONIZING .*: elected");

  private ControllerLog() {}

  /** The machine that a leader releases because nobody reaches it. */
  static Optional<String> machineReleasedAsUnreachable(String text) {
    Matcher matcher = UNREACHABLE.matcher(text);
    return matcher.matches() ? Optional.of(matcher.group(1)) : Optional.empty();
  }

  /** Whether a controller has been elected. */
  static boolean isElection(String text) {
    return ELECTED.matcher(text).matches();
  }
}
