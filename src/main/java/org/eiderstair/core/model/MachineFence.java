package org.eiderstair.core.model;

/**
 * The fencing tokens of one machine. A worker refuses commands whose token is lower than the
 * highest token that it has seen, so a raised token invalidates earlier commands and all copies of
 * them.
 */
public final class MachineFence {
  private FencingToken token;
  private FencingToken confirmingToken;
  private FencingToken reported = FencingToken.NONE;
  private boolean launchCommanded;

  MachineFence(FencingToken first) {
    token = first;
    confirmingToken = first;
  }

  /** Returns the token that commands and answers to the machine carry. */
  public FencingToken token() {
    return token;
  }

  /**
   * Returns whether a heartbeat with this token proves that no command of unknown outcome can be
   * executed any more.
   */
  public boolean isConfirmedBy(FencingToken reported) {
    return reported.isAtLeast(confirmingToken);
  }

  /** Records the token in the newest heartbeat of the machine. */
  public void recordReported(FencingToken newest) {
    reported = newest;
  }

  /**
   * Returns whether the newest heartbeat showed a higher token than this one. A worker never
   * forgets a token, so the one that reports this token is another worker on the same machine.
   */
  public boolean isForgottenBy(FencingToken newest) {
    return !newest.isAtLeast(reported);
  }

  /** Records that a launch is sent by command with the current token. */
  public void recordLaunchCommand() {
    launchCommanded = true;
  }

  /**
   * Returns whether every launch by command carried an earlier token than the current one. A
   * message with the current token may then acknowledge ended attempts: a copy of their launch is
   * refused.
   */
  public boolean coversLaunchCommands() {
    return !launchCommanded;
  }

  /**
   * Raises the token so that it covers every launch by command, unless it does already. The outcome
   * of each is known, so heartbeats with earlier tokens stay valid.
   *
   * @return whether the token was raised
   */
  public boolean coverLaunchCommands() {
    if (coversLaunchCommands()) {
      return false;
    }
    advance();
    return true;
  }

  /** Raises the token because the outcome of a command is unknown until a heartbeat shows it. */
  public void raise() {
    advance();
    confirmingToken = token;
  }

  private void advance() {
    token = token.next();
    launchCommanded = false;
  }
}
