package org.eiderstair.core;

/** One try at running a task on one machine. Its number is never used again, in any term. */
final class Attempt {

  /**
   * QUEUED waits at the leader for room on its machine; PLANNED goes with the next command or
   * answer to it; SENT may or may not be on the machine; SEEN was shown by the machine.
   */
  enum Phase {
    QUEUED,
    PLANNED,
    SENT,
    SEEN
  }

  final Job job;
  final int index;
  final long number;
  final Machine machine;

  /** Kept here since the job's own description goes when the job is over, before its tasks are. */
  final JobSpec spec;

  private final TaskId task;
  Phase phase;
  MachineReport.TaskState shown;

  /**
   * The sequence of the report whose answer carried the launch, or -1 when it went by /commands.
   * The worker drops an answer that comes late and has one report in flight, so a newer report of
   * the session shows what became of it.
   */
  long sentSequence = -1;

  long sinceMicros;
  long runningSinceMicros;

  /** Asked to make room for other work. */
  boolean stop;

  Attempt(Job job, int index, long number, Machine machine, Phase phase, long nowMicros) {
    this.job = job;
    this.index = index;
    this.number = number;
    this.machine = machine;
    this.spec = job.spec();
    this.task = new TaskId(job.id, index);
    this.phase = phase;
    this.sinceMicros = nowMicros;
  }

  TaskId task() {
    return task;
  }

  /** Whether it may be on its machine: one that waits here is not, until its launch has left. */
  boolean mayBeThere() {
    return phase == Phase.SENT || phase == Phase.SEEN;
  }
}
