package org.eiderstair.core.model;

/** An order to a worker about one attempt, sent in a heartbeat answer or by command. */
public sealed interface Order {
  /** Returns the id of the task. */
  TaskId task();

  /** Returns the number of the attempt. */
  long attempt();

  /** Starts an attempt; has no effect if the machine already has the attempt. */
  record Launch(TaskId task, long attempt) implements Order {}

  /**
   * Stops an attempt. The task may first save a checkpoint if the grace period suffices.
   *
   * @param task the task
   * @param attempt the number of the attempt
   * @param graceMicros the grace period; 0 if a checkpoint is not needed
   */
  record Kill(TaskId task, long attempt, long graceMicros) implements Order {}

  /** Acknowledges an ended attempt. The worker forgets it and omits it from heartbeats. */
  record Acknowledge(TaskId task, long attempt) implements Order {}
}
