package org.eiderstair.core.model;

/**
 * One try at running a task on one machine. Its number is never used again, in any term.
 *
 * <p>A {@link Machine} and a {@link Job} refer to it for as long as it may be on the machine or is
 * meant for it.
 */
public final class Attempt {

  /**
   * QUEUED waits at the leader for free resources of its machine; PLANNED goes with the next
   * command or answer to it; SENT may or may not be on the machine; REPORTED was in a heartbeat of
   * the machine.
   */
  public enum Phase {
    QUEUED,
    PLANNED,
    SENT,
    REPORTED
  }

  /** The launch went by a command of its own, not with the answer to a heartbeat. */
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

  /** The job of the task. */
  public Job job() {
    return job;
  }

  /** The number of the task in its job. */
  public int index() {
    return index;
  }

  /** The number of the attempt, unique over all tasks and terms. */
  public long number() {
    return number;
  }

  /** The machine that it is meant for. */
  public Machine machine() {
    return machine;
  }

  /** What the task needs: kept here since a job drops its description before its last task ends. */
  public JobSpec spec() {
    return spec;
  }

  /** The task that is tried. */
  public TaskId task() {
    return task;
  }

  /** How far it has come on its way to the machine. */
  public Phase phase() {
    return phase;
  }

  /** The state of the task in the last heartbeat that contained it; null before. */
  public Heartbeat.TaskState reportedState() {
    return reportedState;
  }

  /**
   * The sequence of the heartbeat whose answer carried the launch, or {@link #SENT_BY_COMMAND}. A
   * worker drops an answer that comes late and has one heartbeat in flight, so a newer heartbeat of
   * the incarnation shows what became of the launch.
   */
  public long sentSequence() {
    return sentSequence;
  }

  /** When a heartbeat first showed it running, or when it was found on its machine. */
  public long runningSinceMicros() {
    return runningSinceMicros;
  }

  /** Whether it is to stop for other work, or before its machine is taken away. */
  public boolean isStopRequested() {
    return stopRequested;
  }

  /** Whether it may be on its machine: its launch has left, or a heartbeat contained it. */
  public boolean mayBeOnMachine() {
    return phase == Phase.SENT || phase == Phase.REPORTED;
  }

  /** Its launch is to go with the next command or answer. */
  public void plan() {
    phase = Phase.PLANNED;
  }

  /**
   * Its launch leaves.
   *
   * @param sequence the sequence of the heartbeat that is answered, or {@link #SENT_BY_COMMAND}
   */
  public void send(long sequence) {
    phase = Phase.SENT;
    sentSequence = sequence;
  }

  /** A heartbeat of its machine contained it. */
  public void confirm() {
    phase = Phase.REPORTED;
  }

  /** Records the state that a heartbeat gave for it. */
  public void recordState(Heartbeat.TaskState state, long nowMicros) {
    reportedState = state;
    if (state == Heartbeat.TaskState.RUNNING) {
      runningSinceMicros = nowMicros;
    }
  }

  /** Records the state in which it was found on a machine that an earlier leader gave it to. */
  public void recordFound(Heartbeat.TaskState state, long nowMicros) {
    reportedState = state;
    runningSinceMicros = nowMicros;
  }

  /** Asks for it to be stopped, for other work or before its machine is taken away. */
  public void requestStop() {
    stopRequested = true;
  }
}
