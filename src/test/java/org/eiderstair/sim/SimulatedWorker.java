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

/** A stand-in for one machine and its worker, as far as controllers see them. */
final class SimulatedWorker {
  private static final long TICK_MICROS = 100_000;
  private static final long MIN_HEARTBEAT_INTERVAL_MICROS = 500_000;
  private static final long HEARTBEAT_INTERVAL_MICROS = 2_000_000;
  private static final int HEARTBEAT_JITTER_MICROS = 1_500_000;
  private static final long HEARTBEAT_TIMEOUT_MICROS = 4_000_000;
  private static final long NEXT_NODE_DELAY_MICROS = 1_000_000;
  private static final long MIN_FETCH_MICROS = 200_000;
  private static final int FETCH_JITTER_MICROS = 2_000_000;

  /** An attempt's number holds the term of the leader that placed it above these bits. */
  private static final int TERM_SHIFT = 31;

  private static final class TaskAttempt {
    final TaskId task;
    final long attempt;
    TaskState state = TaskState.FETCHING;
    Exit exit = Exit.NONE;

    TaskAttempt(TaskId task, long attempt) {
      this.task = task;
      this.attempt = attempt;
    }

    boolean usesResources() {
      return state != TaskState.ENDED;
    }

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

  /** When the last heartbeat was sent that was answered: the lease counts from it. */
  private long lastAnsweredSentMicros;

  /** The controller that heartbeats go to. */
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

  // Failures.

  void hang(long micros) {
    hungUntilMicros = now() + micros;
  }

  /** For so long, what is sent to it is lost, while its heartbeats arrive. */
  void loseInbound(long micros) {
    inboundLostUntilMicros = now() + micros;
  }

  /** For so long, its heartbeats are lost, while commands arrive. */
  void loseOutbound(long micros) {
    outboundLostUntilMicros = now() + micros;
  }

  /** From now on every task that is launched here ends with an error. */
  void failAllTasks() {
    failsAllTasks = true;
  }

  /** It knows that it will be taken back after that time. */
  void receiveReclaimNotice(long micros) {
    noticeAtMicros = now() + micros;
  }

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

  // What checks look at.

  /** Whether a task of that size would find room. */
  boolean hasFreeResources(double cpus) {
    double used = 0;
    for (TaskAttempt taskAttempt : tasks.values()) {
      used += taskAttempt.usesResources() ? cluster.users.spec(taskAttempt.task.job()).cpus() : 0;
    }
    return !dead
        && used + cpus <= SimulatedCloud.MACHINE_TYPE.cpus() + RuleChecker.MAX_ROUNDING_ERROR_CPUS;
  }

  /** Whether something is here that a leader of a later term than that has placed. */
  boolean isUsedByTermAfter(long term) {
    return tasks.values().stream()
        .anyMatch(
            taskAttempt -> taskAttempt.usesResources() && taskAttempt.attempt >> TERM_SHIFT > term);
  }

  // Its lease and heartbeats.

  private void tick() {
    if (dead) {
      return;
    }
    cluster.clock.after(TICK_MICROS, this::tick);
    // A hung machine may go on only within its lease.
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

  /** A direct command or a status request; a hung machine takes it when it goes on. */
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
