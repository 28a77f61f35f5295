package org.eiderstair.core.model;

/**
 * The commands to one machine that are in flight, and the kills that wait to be sent. At most one
 * launch or probe command and one kill command are in flight at a time.
 */
public final class CommandState {
  private boolean inFlight;
  private boolean killInFlight;
  private boolean killsPending;
  private long nextKillMicros;
  private long nextProbeMicros;

  CommandState() {}

  /** Returns whether a launch or probe command is in flight. */
  public boolean isInFlight() {
    return inFlight;
  }

  /** Records that a launch or probe command is sent. */
  public void beginCommand() {
    inFlight = true;
  }

  /** Records that the launch or probe command was answered or given up. */
  public void endCommand() {
    inFlight = false;
  }

  /** Returns whether a kill command is in flight; launches and probes do not count. */
  public boolean isKillInFlight() {
    return killInFlight;
  }

  /** Records that a kill command is sent. */
  public void beginKill() {
    killInFlight = true;
  }

  /** Records that the kill command was answered or given up. */
  public void endKill() {
    killInFlight = false;
  }

  /** Returns whether kills for the machine wait to be sent. */
  public boolean areKillsPending() {
    return killsPending;
  }

  /** Records that kills for the machine must be sent. */
  public void requestKills() {
    killsPending = true;
  }

  /** Records that all requested kills are being sent. */
  public void clearKills() {
    killsPending = false;
  }

  /** Returns the earliest time at which the next kill command may be sent. */
  public long nextKillMicros() {
    return nextKillMicros;
  }

  /** Delays the next kill command until the given time. */
  public void delayKillsUntil(long micros) {
    nextKillMicros = micros;
  }

  /** Returns the earliest time at which the next probe may be sent. */
  public long nextProbeMicros() {
    return nextProbeMicros;
  }

  /** Sets the earliest time of the next probe. */
  public void scheduleProbe(long micros) {
    nextProbeMicros = micros;
  }
}
