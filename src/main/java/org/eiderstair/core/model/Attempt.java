package org.eiderstair.core.model;

/** One try at running a task on one machine. Its number is never used again, in any term. */
public final class Attempt {

  /**
   * QUEUED waits at the leader for room on its machine; PLANNED goes with the next command or
   * answer to it; SENT may or may not be on the machine; REPORTED was shown by the machine.
   */
  public enum Phase {
    QUEUED,
    PLANNED,
    SENT,
    REPORTED
  }

  public final Job job;
  public final int index;
  public final long number;
  public final Machine machine;

  /** Kept here since the job's own description goes when the job is over, before its tasks are. */
  public final JobSpec spec;

  private final TaskId task;
  public Phase phase;
  public Heartbeat.TaskState reportedState;

  /**
   * The sequence of the report whose answer carried the launch, or -1 when it went by /commands.
   * The worker drops an answer that comes late and has one report in flight, so a newer report of
   * the session shows what became of it.
   */
  public long sentSequence = -1;

  public long sinceMicros;
  public long runningSinceMicros;

  /** Asked to make room for other work. */
  public boolean stopRequested;

  public Attempt(Job job, int index, long number, Machine machine, Phase phase, long nowMicros) {
    this.job = job;
    this.index = index;
    this.number = number;
    this.machine = machine;
    this.spec = job.spec();
    this.task = new TaskId(job.id, index);
    this.phase = phase;
    this.sinceMicros = nowMicros;
  }

  /** The task that is tried. */
  public TaskId task() {
    return task;
  }

  /** Whether it may be on its machine: one that waits here is not, until its launch has left. */
  public boolean mayBeOnMachine() {
    return phase == Phase.SENT || phase == Phase.REPORTED;
  }
}
