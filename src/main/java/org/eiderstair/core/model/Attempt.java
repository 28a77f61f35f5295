package org.eiderstair.core.model;

/**
 * One attempt to run a task on one machine. Attempt numbers are never reused, in any term.
 *
 * <p>The {@link Machine} and the {@link Job} refer to an attempt for as long as the attempt may be
 * on the machine or is assigned to the machine.
 */
public final class Attempt {

  /** The progress of the launch of an attempt on its machine. */
  public enum Phase {
    /** The attempt waits at the leader for free resources of its machine. */
    QUEUED,
    /** The launch is sent with the next command or heartbeat answer to the machine. */
    PLANNED,
    /** The launch was sent; the attempt may or may not be on the machine. */
    SENT,
    /**
     * A heartbeat of the machine contained the attempt, or the leader recovered the attempt from
     * the standby's replica.
     */
    REPORTED
  }

  /** The {@link #sentSequence} of a launch that was sent by command, not in a heartbeat answer. */
  public static final long SENT_BY_COMMAND = -1;

  private final Job job;
  private final int index;
  private final long number;
  private final Machine machine;
  private final JobSpec spec;
  private final TaskId task;
  private Phase phase;
  private Heartbeat.TaskState reportedState;
  private long sentSequence = SENT_BY_COMMAND;
  private long runningSinceMicros;
  private boolean stopRequested;

  public Attempt(Job job, int index, long number, Machine machine, Phase phase) {
    this.job = job;
    this.index = index;
    this.number = number;
    this.machine = machine;
    this.spec = job.spec();
    this.task = new TaskId(job.id(), index);
    this.phase = phase;
  }

  /** Returns the job of the task. */
  public Job job() {
    return job;
  }

  /** Returns the index of the task in its job, from 0. */
  public int index() {
    return index;
  }

  /** Returns the number of the attempt, which is unique across all tasks and terms. */
  public long number() {
    return number;
  }

  /** Returns the machine that the attempt is assigned to. */
  public Machine machine() {
    return machine;
  }

  /**
   * Returns the specification of the job. The attempt keeps a reference because a job may drop its
   * specification while the attempt is still in use.
   */
  public JobSpec spec() {
    return spec;
  }

  /** Returns the id of the task. */
  public TaskId task() {
    return task;
  }

  /** Returns the current phase. */
  public Phase phase() {
    return phase;
  }

  /** Returns the task state in the last heartbeat that contained the attempt; null before that. */
  public Heartbeat.TaskState reportedState() {
    return reportedState;
  }

  /**
   * Returns the sequence number of the heartbeat whose answer carried the launch, or {@link
   * #SENT_BY_COMMAND}. A worker has one heartbeat in flight and drops late answers. A newer
   * heartbeat of the same incarnation therefore shows whether the launch was executed.
   */
  public long sentSequence() {
    return sentSequence;
  }

  /**
   * Returns the time at which a heartbeat first showed the task as running, or at which the attempt
   * was found on its machine.
   */
  public long runningSinceMicros() {
    return runningSinceMicros;
  }

  /** Returns whether the attempt must stop for other work or because its machine is reclaimed. */
  public boolean isStopRequested() {
    return stopRequested;
  }

  /** Returns whether the attempt may be on its machine: it was sent or reported. */
  public boolean mayBeOnMachine() {
    return phase == Phase.SENT || phase == Phase.REPORTED;
  }

  /** Marks the launch to be sent with the next command or heartbeat answer. */
  public void markPlanned() {
    phase = Phase.PLANNED;
  }

  /**
   * Marks the launch as sent.
   *
   * @param sequence the sequence number of the answered heartbeat, or {@link #SENT_BY_COMMAND}
   */
  public void markSent(long sequence) {
    phase = Phase.SENT;
    sentSequence = sequence;
  }

  /** Records that a heartbeat of the machine contained the attempt. */
  public void markReported() {
    phase = Phase.REPORTED;
  }

  /** Records the task state that a heartbeat reported. */
  public void recordState(Heartbeat.TaskState state, long nowMicros) {
    reportedState = state;
    if (state == Heartbeat.TaskState.RUNNING) {
      runningSinceMicros = nowMicros;
    }
  }

  /** Records the task state of an attempt that was found on its machine without being known. */
  public void recordFound(Heartbeat.TaskState state, long nowMicros) {
    reportedState = state;
    runningSinceMicros = nowMicros;
  }

  /** Requests a stop, for other work or because the machine is reclaimed. */
  public void requestStop() {
    stopRequested = true;
  }
}
