package org.eiderstair.core.model;

/** What a worker is told about one attempt, in an answer to its heartbeat or by command. */
public sealed interface Order {
  /** The task that it is about. */
  TaskId task();

  /** The attempt that it is about. */
  long attempt();

  /** Starts an attempt; without effect where the machine has it already. */
  record Launch(TaskId task, long attempt) implements Order {}

  /** Stops an attempt, which may first save a checkpoint if the grace period suffices. */
  record Kill(TaskId task, long attempt, long graceMicros) implements Order {}

  /** The end of an attempt is known: the worker may forget it and leaves it out of heartbeats. */
  record Acknowledge(TaskId task, long attempt) implements Order {}
}
