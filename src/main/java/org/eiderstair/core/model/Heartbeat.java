package org.eiderstair.core.model;

import java.util.List;

/**
 * A worker's account of itself. {@code (incarnation, sequence)} orders the heartbeats of one
 * machine.
 *
 * @param machine the name that the platform gave the machine
 * @param address where its worker listens for commands
 * @param type the name of its machine type
 * @param zone the zone that it is in
 * @param spot whether it is a spot instance
 * @param incarnation numbers the worker's starts, and its restarts after a lease expired
 * @param sequence numbers the heartbeats of one incarnation
 * @param fencingToken the highest token that the worker had seen when it wrote this heartbeat
 * @param noticeMicros the time until the platform takes the machine away, or {@link #NO_NOTICE}
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

  /** The platform has not announced that it takes the machine away. */
  public static final long NO_NOTICE = -1;

  /**
   * One task on the machine. Ended ones are included until an order acknowledges them.
   *
   * @param exit why it ended; NONE while it has not
   * @param saved whether it saved a checkpoint when it was stopped
   */
  public record Entry(TaskId task, long attempt, TaskState state, Exit exit, boolean saved) {}

  /** How far a task on a machine has come. */
  public enum TaskState {
    FETCHING,
    RUNNING,
    SAVING,
    ENDED
  }

  /** Why a task ended. */
  public enum Exit {
    NONE,
    DONE,
    STOPPED,
    ERROR,
    NO_ROOM,
    BUSY,
    UNKNOWN_JOB
  }

  /** Whether this heartbeat was written after the other one of its machine. */
  public boolean newerThan(long otherIncarnation, long otherSequence) {
    return incarnation > otherIncarnation
        || (incarnation == otherIncarnation && sequence > otherSequence);
  }
}
