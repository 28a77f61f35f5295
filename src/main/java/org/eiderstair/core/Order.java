package org.eiderstair.core;

/** A command to a worker. */
public sealed interface Order {
  TaskId task();

  long attempt();

  record Launch(TaskId task, long attempt) implements Order {}

  record Kill(TaskId task, long attempt, long graceMicros) implements Order {}

  record Reap(TaskId task, long attempt) implements Order {}
}
