package org.eiderstair.core.model;

/** A command to a worker. */
public sealed interface Order {
  /** The task that it is about. */
  TaskId task();

  /** The attempt that it is about. */
  long attempt();

  /** Starts an attempt; without effect where the machine has it already. */
  record Launch(TaskId task, long attempt) implements Order {}

  /** Stops an attempt, which may save its progress first if the leeway suffices. */
  record Kill(TaskId task, long attempt, long graceMicros) implements Order {}

  /** Removes an ended attempt from the machine's reports. */
  record Acknowledge(TaskId task, long attempt) implements Order {}
}
