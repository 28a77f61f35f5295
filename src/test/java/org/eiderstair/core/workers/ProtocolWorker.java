package org.eiderstair.core.workers;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;

/** A worker that follows the protocol as far as the tests of this package need it. */
final class ProtocolWorker {
  private final String machine;
  FencingToken fencingToken = FencingToken.NONE;
  long incarnation = 1;
  long sequence;
  long leaseStartMicros;
  boolean dropsKills;
  boolean hasNoRoom;
  final Map<TaskId, Entry> tasks =
      new TreeMap<>(Comparator.comparing(TaskId::job).thenComparing(TaskId::index));

  ProtocolWorker(String machine) {
    this.machine = machine;
  }

  /** Returns the next heartbeat, with the current tasks. */
  Heartbeat nextHeartbeat() {
    return new Heartbeat(
        machine,
        "x",
        "t",
        "a",
        false,
        incarnation,
        ++sequence,
        fencingToken,
        Heartbeat.NO_NOTICE,
        List.copyOf(tasks.values()));
  }

  /** Executes a command, unless its fencing token or its incarnation is outdated. */
  Reply.WorkerStatus receive(Request.WorkerCommands command) {
    boolean executes = accepts(command);
    if (executes) {
      executeAll(command.fencingToken(), command.orders());
    }
    return new Reply.WorkerStatus(nextHeartbeat(), executes);
  }

  /**
   * Executes the answer to a heartbeat of an incarnation, unless its fencing token is outdated.
   *
   * @return whether the answer renews the lease
   */
  boolean receiveAnswer(Answer.Command answer, long heartbeatIncarnation) {
    boolean executes =
        answer.fencingToken().isAtLeast(fencingToken) && heartbeatIncarnation == incarnation;
    if (executes) {
      executeAll(answer.fencingToken(), answer.orders());
    }
    return executes;
  }

  /** Returns whether a command would be executed if it arrived now. */
  boolean accepts(Request.WorkerCommands command) {
    return command.fencingToken().isAtLeast(fencingToken) && command.incarnation() == incarnation;
  }

  private void executeAll(FencingToken token, List<Order> orders) {
    fencingToken = token;
    orders.forEach(this::execute);
  }

  private void execute(Order order) {
    Entry known = tasks.get(order.task());
    boolean sameAttempt = known != null && known.attempt() == order.attempt();
    if (order instanceof Order.Launch) {
      if (wouldStart(order)) {
        put(order.task(), order.attempt(), hasNoRoom ? Exit.NO_ROOM : Exit.NONE);
      }
    } else if (sameAttempt && order instanceof Order.Kill && known.state() != TaskState.ENDED) {
      if (!dropsKills) {
        put(order.task(), order.attempt(), Exit.STOPPED);
      }
    } else if (sameAttempt
        && order instanceof Order.Acknowledge
        && known.state() == TaskState.ENDED) {
      tasks.remove(order.task());
    }
  }

  /** Returns whether a launch would have an effect if it were executed now. */
  boolean wouldStart(Order launch) {
    Entry known = tasks.get(launch.task());
    return known == null
        || (known.attempt() != launch.attempt() && known.state() == TaskState.ENDED);
  }

  /** Ends the task's current attempt. */
  void end(TaskId task, Exit exit) {
    put(task, tasks.get(task).attempt(), exit);
  }

  private void put(TaskId task, long attempt, Exit exit) {
    TaskState state = exit == Exit.NONE ? TaskState.RUNNING : TaskState.ENDED;
    tasks.put(task, new Entry(task, attempt, state, exit, false));
  }

  /** Returns whether the machine's heartbeats contain an attempt, also one that has ended. */
  boolean reports(TaskId task, long attempt) {
    Entry entry = tasks.get(task);
    return entry != null && entry.attempt() == attempt;
  }

  /** Returns whether the machine holds the task and the task has not ended. */
  boolean isActive(TaskId task) {
    Entry entry = tasks.get(task);
    return entry != null && entry.state() != TaskState.ENDED;
  }
}
