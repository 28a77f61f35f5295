package org.eiderstair.node;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.eiderstair.protocol.SampleMessages;

/** A fake of one machine and its worker, on a loopback address of its own. */
final class FakeMachine {
  private static final int MACHINES_PER_SUBNET = 250;

  /** A task that runs until its end time, then is reported as done until an order removes it. */
  private record Task(long attempt, long endMillis) {
    boolean ended() {
      return nowMillis() >= endMillis;
    }
  }

  private final String id;
  private final String host;
  private final SampleMessages.Worker worker;
  private final long taskMillis;
  private final Map<String, Task> tasks = new LinkedHashMap<>();
  private long sequence;
  private long fencingToken;
  private final List<Map<String, Object>> executedCommands = new ArrayList<>();

  FakeMachine(int number, int port, long taskMillis) {
    this.id = String.format("i-%06d", number);
    this.host = "127.1." + number / MACHINES_PER_SUBNET + "." + (1 + number % MACHINES_PER_SUBNET);
    this.worker = new SampleMessages.Worker(id, host + ":" + port, "small", "z", true);
    this.taskMillis = taskMillis;
  }

  private static long nowMillis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }

  String id() {
    return id;
  }

  String host() {
    return host;
  }

  /** Returns the worker's address for commands. */
  String address() {
    return worker.address();
  }

  /** Returns the worker's next heartbeat; a task whose end time has passed is reported as done. */
  synchronized Map<String, Object> heartbeat() {
    List<Object> entries = new ArrayList<>();
    tasks.forEach(
        (name, task) ->
            entries.add(
                task.ended()
                    ? SampleMessages.completedTask(name, task.attempt())
                    : SampleMessages.runningTask(name, task.attempt())));
    return SampleMessages.heartbeat(worker, ++sequence, fencingToken, entries);
  }

  /** Executes a command, unless its fencing token is outdated; returns whether it did. */
  synchronized boolean receiveCommand(Map<String, Object> command) {
    boolean executes = (Long) command.get("Baton") >= fencingToken;
    if (executes) {
      execute(command);
      executedCommands.add(command);
    }
    return executes;
  }

  /** Returns the executed commands that contain a launch of the task. */
  synchronized List<Map<String, Object>> launchCommands(String task) {
    return executedCommands.stream()
        .filter(
            command ->
                ((List<?>) command.get("Orders"))
                    .stream().anyMatch(order -> task.equals(((Map<?, ?>) order).get("Piece"))))
        .toList();
  }

  /** Returns whether the next heartbeat would report the task. */
  synchronized boolean reports(String task) {
    return tasks.containsKey(task);
  }

  /**
   * Executes the orders of a command or of the answer to a heartbeat.
   *
   * @return whether the message held a newer fencing token or any orders
   */
  synchronized boolean execute(Map<String, Object> message) {
    long token = (Long) message.get("Baton");
    List<?> orders = (List<?>) message.get("Orders");
    boolean changed = token > fencingToken || !orders.isEmpty();
    fencingToken = Math.max(fencingToken, token);
    for (Object element : orders) {
      Map<?, ?> order = (Map<?, ?>) element;
      String task = (String) order.get("Piece");
      if (order.get("Verb").equals("launch")) {
        tasks.putIfAbsent(task, new Task((Long) order.get("Try"), nowMillis() + taskMillis));
      } else {
        tasks.remove(task);
      }
    }
    return changed;
  }
}
