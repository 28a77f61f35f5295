package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;

/** A simulated machine and its worker, as far as controllers can observe them. */
final class SimulatedWorker {
  private static final long TICK_MICROS = 100_000;

  /** Minimum time between two heartbeats, also when a task has changed. */
  private static final long MIN_HEARTBEAT_INTERVAL_MICROS = 500_000;

  private static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;
  private static final int HEARTBEAT_JITTER_MICROS = 1_500_000;
  private static final long HEARTBEAT_TIMEOUT_MICROS = 4_000_000;
  private static final long NEXT_NODE_DELAY_MICROS = 1_000_000;
  private static final long MIN_FETCH_MICROS = 200_000;
  private static final int FETCH_JITTER_MICROS = 2_000_000;

  /**
   * Number of low bits of an attempt number; the term of the leader that placed the attempt is
   * above them.
   */
  private static final int TERM_SHIFT = 31;

  /**
   * One attempt to run a task on this machine; an ended attempt is kept until it is acknowledged.
   */
  private static final class TaskAttempt {
    final TaskId task;
    final long attempt;
    TaskState state = TaskState.FETCHING;
    Exit exit = Exit.NONE;

    TaskAttempt(TaskId task, long attempt) {
      this.task = task;
      this.attempt = attempt;
    }

    /** Returns whether the attempt still occupies resources. */
    boolean usesResources() {
      return state != TaskState.ENDED;
    }

    /** Returns whether the task has started and not ended. */
    boolean isExecuting() {
      return state == TaskState.RUNNING || state == TaskState.SAVING;
    }

    void end(Exit newExit) {
      state = TaskState.ENDED;
      exit = newExit;
    }
  }

  final String id;
  final String zone;
  final boolean spot;
  final String type;
  private final SimulatedCluster cluster;
  private final Map<TaskId, TaskAttempt> tasks = new LinkedHashMap<>();
  private long incarnation = 1;
  private long sequence;
  private FencingToken fencingToken = FencingToken.NONE;

  /** Send time of the last answered heartbeat; the lease is counted from then. */
  private long lastAnsweredSentMicros;

  /** Index of the controller to which heartbeats are sent. */
  private int node;

  private boolean inFlight;
  private boolean heartbeatDue;
  private long heartbeatNumber;
  private long nextHeartbeatMicros;
  private long lastHeartbeatMicros;
  private boolean dead;
  private long diedMicros;
  private boolean failsAllTasks;
  private long hungUntilMicros;
  private final List<Runnable> deferredWhileHung = new ArrayList<>();
  private long noticeAtMicros = -1;
  private long inboundLostUntilMicros;
  private long outboundLostUntilMicros;

  SimulatedWorker(SimulatedCluster cluster, String id, String type, String zone, boolean spot) {
    this.cluster = cluster;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.lastAnsweredSentMicros = now();
    this.node = cluster.random.nextInt(cluster.size.nodes());
    tick();
  }

  private long now() {
    return cluster.clock.now();
  }

  // Fault injection.

  /** Suspends the machine and its worker for a while. */
  void hang(long micros) {
    hungUntilMicros = now() + micros;
  }

  /** Loses everything that is sent to this machine for a while; its heartbeats still arrive. */
  void loseInbound(long micros) {
    inboundLostUntilMicros = now() + micros;
  }

  /** Loses the heartbeats of this machine for a while; commands still arrive. */
  void loseOutbound(long micros) {
    outboundLostUntilMicros = now() + micros;
  }

  /** Makes every task that is launched from now on end with an error. */
  void failAllTasks() {
    failsAllTasks = true;
  }

  /**
   * Stops all tasks now, and starts the worker again after a while in which nothing reaches it.
   *
   * @param numbersBeginAgain whether the worker has forgotten its incarnation, its sequence and the
   *     highest fencing token, like the worker of a new machine
   */
  void restart(long downMicros, boolean numbersBeginAgain) {
    if (dead) {
      return;
    }
    hang(downMicros);
    loseInbound(downMicros);
    deferredWhileHung.clear();
    newIncarnation();
    inFlight = false;
    heartbeatNumber++;
    if (numbersBeginAgain) {
      incarnation = 1;
      fencingToken = FencingToken.NONE;
    }
    lastAnsweredSentMicros = now() + downMicros;
  }

  /** Notifies the machine that the cloud reclaims it after that time. */
  void receiveReclaimNotice(long micros) {
    noticeAtMicros = now() + micros;
  }

  /** Stops the machine and all of its tasks for good. */
  void die() {
    dead = true;
    diedMicros = now();
    tasks.keySet().forEach(task -> cluster.tasks.onMachineStopped(id, task));
  }

  boolean isDead() {
    return dead;
  }

  long diedMicros() {
    return diedMicros;
  }

  private boolean isHung() {
    return now() < hungUntilMicros;
  }

  private boolean isInboundLost() {
    return now() < inboundLostUntilMicros;
  }

  // Queries of the checkers.

  /** Returns whether the machine is alive and has free processors for a task of that size. */
  boolean hasFreeResources(double cpus) {
    double used = 0;
    for (TaskAttempt taskAttempt : tasks.values()) {
      used += taskAttempt.usesResources() ? cluster.users.spec(taskAttempt.task.job()).cpus() : 0;
    }
    return !dead
        && used + cpus <= SimulatedCloud.MACHINE_TYPE.cpus() + RuleChecker.MAX_ROUNDING_ERROR_CPUS;
  }

  /** Returns whether a task that a leader of a later term placed uses this machine. */
  boolean isUsedByTermAfter(long term) {
    return tasks.values().stream()
        .anyMatch(
            taskAttempt -> taskAttempt.usesResources() && taskAttempt.attempt >> TERM_SHIFT > term);
  }

  // Lease and heartbeats.

  private void tick() {
    if (dead) {
      return;
    }
    cluster.clock.after(TICK_MICROS, this::tick);
    // The lease comes first: a hung machine may resume its tasks only while its lease is valid.
    if (now() > lastAnsweredSentMicros + SimulatedCluster.LEASE_MICROS) {
      newIncarnation();
    }
    if (isHung()) {
      return;
    }
    List<Runnable> waiting = new ArrayList<>(deferredWhileHung);
    deferredWhileHung.clear();
    waiting.forEach(Runnable::run);
    if (!inFlight && isHeartbeatTime()) {
      sendHeartbeat();
    }
  }

  private boolean isHeartbeatTime() {
    return now() >= nextHeartbeatMicros
        || (heartbeatDue && now() >= lastHeartbeatMicros + MIN_HEARTBEAT_INTERVAL_MICROS);
  }

  /** Stops all tasks after the lease has expired, and starts with a new incarnation number. */
  private void newIncarnation() {
    tasks.keySet().forEach(cluster.tasks::onTaskStopped);
    tasks.clear();
    incarnation++;
    sequence = 0;
    lastAnsweredSentMicros = now();
    heartbeatDue = true;
  }

  private Heartbeat createHeartbeat() {
    List<Heartbeat.Entry> entries = new ArrayList<>();
    for (TaskAttempt taskAttempt : tasks.values()) {
      entries.add(
          new Heartbeat.Entry(
              taskAttempt.task, taskAttempt.attempt, taskAttempt.state, taskAttempt.exit, false));
    }
    long notice = noticeAtMicros < 0 ? Heartbeat.NO_NOTICE : Math.max(0, noticeAtMicros - now());
    return new Heartbeat(
        id, id, type, zone, spot, incarnation, ++sequence, fencingToken, notice, entries);
  }

  private void sendHeartbeat() {
    inFlight = true;
    heartbeatDue = false;
    lastHeartbeatMicros = now();
    nextHeartbeatMicros =
        lastHeartbeatMicros
            + HEARTBEAT_INTERVAL_MICROS
            + cluster.random.nextInt(HEARTBEAT_JITTER_MICROS);
    long number = ++heartbeatNumber;
    long sentIncarnation = incarnation;
    long sentMicros = now();
    if (now() >= outboundLostUntilMicros) {
      Heartbeat heartbeat = createHeartbeat();
      cluster.faults.onHeartbeatSent(id, node, heartbeat);
      cluster.deliverHeartbeat(
          id,
          node,
          heartbeat,
          answer -> {
            if (!dead && isAwaited(number) && !isHung() && !isInboundLost()) {
              onAnswer(answer, sentIncarnation, sentMicros);
            }
          });
    }
    cluster.clock.after(
        HEARTBEAT_TIMEOUT_MICROS,
        () -> {
          if (isAwaited(number)) {
            inFlight = false;
            tryNextNode();
          }
        });
  }

  private boolean isAwaited(long number) {
    return inFlight && number == heartbeatNumber;
  }

  private void onAnswer(Answer answer, long sentIncarnation, long sentMicros) {
    inFlight = false;
    if (answer instanceof Answer.Command command) {
      if (command.fencingToken().isAtLeast(fencingToken) && sentIncarnation == incarnation) {
        observe(command.fencingToken());
        lastAnsweredSentMicros = sentMicros;
        command.orders().forEach(this::execute);
      }
    } else if (answer instanceof Answer.Redirect redirect && redirect.node() != null) {
      node = SimulatedController.indexOf(redirect.node());
      heartbeatDue = true;
    } else {
      tryNextNode();
    }
  }

  /** Selects the next controller and delays the next heartbeat to it. */
  private void tryNextNode() {
    node = (node + 1) % cluster.size.nodes();
    nextHeartbeatMicros = now() + NEXT_NODE_DELAY_MICROS;
  }

  private void observe(FencingToken newFencingToken) {
    if (newFencingToken.compareTo(fencingToken) > 0) {
      fencingToken = newFencingToken;
      heartbeatDue = true;
    }
  }

  // Orders and tasks.

  /**
   * Handles a command or status request from a controller; a hung machine handles it when it
   * resumes.
   */
  void receive(Request request, Consumer<Reply> callback) {
    if (dead || isInboundLost()) {
      return;
    }
    if (isHung()) {
      deferredWhileHung.add(() -> receive(request, callback));
      return;
    }
    boolean executed = false;
    if (request instanceof Request.WorkerCommands commands
        && commands.fencingToken().isAtLeast(fencingToken)
        && commands.incarnation() == incarnation) {
      observe(commands.fencingToken());
      commands.orders().forEach(this::execute);
      executed = true;
    }
    callback.accept(new Reply.WorkerStatus(createHeartbeat(), executed));
  }

  private void execute(Order order) {
    TaskAttempt known = tasks.get(order.task());
    boolean same = known != null && known.attempt == order.attempt();
    if (order instanceof Order.Launch) {
      if (known == null || (!same && !known.usesResources())) {
        launch(order);
      }
    } else if (same && order instanceof Order.Kill && known.usesResources()) {
      kill(known);
    } else if (same && order instanceof Order.Acknowledge && !known.usesResources()) {
      tasks.remove(order.task());
    }
  }

  private void launch(Order order) {
    TaskAttempt launched = new TaskAttempt(order.task(), order.attempt());
    tasks.put(order.task(), launched);
    heartbeatDue = true;
    if (failsAllTasks) {
      launched.end(Exit.ERROR);
      return;
    }
    cluster.clock.after(
        MIN_FETCH_MICROS + cluster.random.nextInt(FETCH_JITTER_MICROS), () -> startTask(launched));
  }

  private void kill(TaskAttempt taskAttempt) {
    if (taskAttempt.isExecuting()) {
      cluster.tasks.onTaskStopped(taskAttempt.task);
    }
    taskAttempt.end(Exit.STOPPED);
    heartbeatDue = true;
  }

  private boolean isInState(TaskState state, TaskAttempt taskAttempt) {
    return !dead && tasks.get(taskAttempt.task) == taskAttempt && taskAttempt.state == state;
  }

  private void startTask(TaskAttempt taskAttempt) {
    if (!isInState(TaskState.FETCHING, taskAttempt)) {
      return;
    }
    if (isHung()) {
      deferredWhileHung.add(() -> startTask(taskAttempt));
      return;
    }
    taskAttempt.state = TaskState.RUNNING;
    heartbeatDue = true;
    cluster.tasks.onTaskStarted(taskAttempt.task, this);
    long runMicros = cluster.tasks.runMicros(taskAttempt.task);
    if (runMicros > 0) {
      cluster.clock.after(runMicros, () -> finishTask(taskAttempt));
    }
  }

  private void finishTask(TaskAttempt taskAttempt) {
    if (!isInState(TaskState.RUNNING, taskAttempt)) {
      return;
    }
    if (isHung()) {
      deferredWhileHung.add(() -> finishTask(taskAttempt));
      return;
    }
    boolean fails = cluster.users.alwaysFails(taskAttempt.task.job());
    taskAttempt.end(fails ? Exit.ERROR : Exit.DONE);
    cluster.tasks.onTaskStopped(taskAttempt.task);
    if (!fails) {
      cluster.tasks.onTaskCompleted(taskAttempt.task);
    }
    heartbeatDue = true;
  }
}
