package org.eiderstair.core.model;

import java.util.List;

/**
 * A worker's account of itself. {@code (session, sequence)} orders accounts of one machine; {@code
 * token} is the highest fencing token that the worker had seen when it wrote this one.
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

  /** No notice to leave has been given. */
  public static final long NO_NOTICE = -1;

  /** One task on the machine, ended ones included until they are forgotten by command. */
  public record Entry(TaskId task, long attempt, TaskState state, Exit exit, boolean saved) {}

  /** Where a task on a machine stands. */
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

  /** True when this account was written after the other one. */
  public boolean newerThan(long otherSession, long otherSequence) {
    return incarnation > otherSession || incarnation == otherSession && sequence > otherSequence;
  }
}
