package org.eiderstair.core.model;

/**
 * What is on its way to one machine, and what waits to be sent. At most one command that launches
 * or probes and one that only kills are in flight at a time.
 */
public final class CommandState {
  private boolean inFlight;
  private boolean killInFlight;
  private boolean killsPending;
  private long nextKillMicros;
  private long nextProbeMicros;

  CommandState() {}

  /** Whether a command that launches or probes is in flight. */
  public boolean isInFlight() {
    return inFlight;
  }

  /** A command that launches or probes leaves. */
  public void begin() {
    inFlight = true;
  }

  /** That command is answered, or given up. */
  public void end() {
    inFlight = false;
  }

  /** Whether a command that only kills is in flight, beside whatever else is. */
  public boolean isKillInFlight() {
    return killInFlight;
  }

  /** A command that only kills leaves. */
  public void beginKill() {
    killInFlight = true;
  }

  /** That command is answered, or given up. */
  public void endKill() {
    killInFlight = false;
  }

  /** Whether the machine has something to kill that it has not been sent. */
  public boolean areKillsPending() {
    return killsPending;
  }

  /** The machine has something to kill. */
  public void requestKills() {
    killsPending = true;
  }

  /** All that is to be killed is being sent. */
  public void clearKills() {
    killsPending = false;
  }

  /** The earliest time of the next command that only kills. */
  public long nextKillMicros() {
    return nextKillMicros;
  }

  /** No command that only kills leaves before this time. */
  public void delayKillsUntil(long micros) {
    nextKillMicros = micros;
  }

  /** The earliest time of the next probe. */
  public long nextProbeMicros() {
    return nextProbeMicros;
  }

  /** The next probe is due at this time. */
  public void scheduleProbe(long micros) {
    nextProbeMicros = micros;
  }
}
