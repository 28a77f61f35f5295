package org.eiderstair.core.model;

import java.util.List;

/**
 * A worker's report on its machine and tasks. The pair {@code (incarnation, sequence)} orders the
 * heartbeats of one machine.
 *
 * @param machine the name that the platform gave the machine
 * @param address the address on which the worker listens for commands
 * @param type the name of the machine type
 * @param zone the zone of the machine
 * @param spot whether the machine is a spot instance
 * @param incarnation a number that increases with each start of the worker, including a restart
 *     after its lease expired
 * @param sequence the number of the heartbeat within the incarnation
 * @param fencingToken the highest token that the worker had seen when it wrote this heartbeat
 * @param noticeMicros the time until the platform reclaims the machine, or {@link #NO_NOTICE}
 * @param tasks the tasks on the machine
 */
public record Heartbeat(
    String machine,
    String address,
    String type,
    String zone,
    boolean spot,
    long incarnation,
    long sequence,
    FencingToken fencingToken,
    long noticeMicros,
    List<Entry> tasks) {

  /** The platform has not announced that it will reclaim the machine. */
  public static final long NO_NOTICE = -1;

  /**
   * One task on the machine. Ended tasks are included until an order acknowledges them.
   *
   * @param task the task
   * @param attempt the number of the attempt
   * @param state the state of the task
   * @param exit the reason why the task ended; NONE while the task has not ended
   * @param saved whether the task saved a checkpoint when it was stopped
   */
  public record Entry(TaskId task, long attempt, TaskState state, Exit exit, boolean saved) {}

  /** The state of a task on a machine. */
  public enum TaskState {
    /** The worker fetches the image. */
    FETCHING,
    /** The task runs. */
    RUNNING,
    /** The task saves a checkpoint. */
    SAVING,
    /** The task has ended; {@link Exit} is the reason. */
    ENDED
  }

  /** The reason why a task ended. */
  public enum Exit {
    /** The task has not ended. */
    NONE,
    /** The task completed successfully. */
    DONE,
    /** The task was stopped before it completed. */
    STOPPED,
    /** The task failed. */
    ERROR,
    /** The worker refused the task for lack of room. */
    NO_ROOM,
    /** The worker refused the task because the worker is busy. */
    BUSY,
    /** The worker refused the task because the job is unknown. */
    UNKNOWN_JOB
  }

  /**
   * Returns whether this heartbeat is newer than the one of the same machine with the given
   * incarnation and sequence number.
   */
  public boolean isNewerThan(long otherIncarnation, long otherSequence) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequence > otherSequence);
  }
}
