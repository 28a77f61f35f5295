package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.JobSpecBuilder;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.WorkerRecord;
import org.eiderstair.core.standby.RecoveredMachine;

/**
 * Simulates one machine, a leader and optionally its successor, with all messages in flight between
 * them. Broken rules are collected in {@link #violations}.
 */
final class CommandSimulation {
  static final String JOB = "job-1";
  static final String MACHINE = "m-0";
  private static final long SECOND_MICROS = 1_000_000;
  private static final long TAKEOVER_TERM = 1_000;
  private static final int MAX_INCARNATIONS = 2;

  final List<LeaderFixture> leaders = new ArrayList<>();
  final int taskCount;
  final boolean withReplica;
  final ProtocolWorker worker = new ProtocolWorker(MACHINE);
  final List<InFlightCommand> commands = new ArrayList<>();

  /** The commands with launches that were executed; a copy of each may arrive later. */
  final List<Request.WorkerCommands> executed = new ArrayList<>();

  InFlightHeartbeat heartbeat;
  Heartbeat earlierHeartbeat;
  int deliveredCopies;
  int deliveredCommandCopies;
  boolean cancelled;
  long now = SECOND_MICROS;
  final List<String> violations = new ArrayList<>();

  CommandSimulation(int taskCount, boolean withReplica) {
    this.taskCount = taskCount;
    this.withReplica = withReplica;
    LeaderFixture first = new LeaderFixture();
    first.now = now;
    first.lead();
    first.machines(1);
    Machine machine = first.workers.machines().get(MACHINE);
    machine.recordAnswer(now);
    worker.fencingToken = machine.fencingToken();
    worker.leaseStartMicros = now;
    addJob(first);
    leaders.add(first);
  }

  int newestIndex() {
    return leaders.size() - 1;
  }

  LeaderFixture newestLeader() {
    return leaders.get(newestIndex());
  }

  private void addJob(LeaderFixture leader) {
    JobSpec spec = JobSpecBuilder.job(JOB).tasks(taskCount).build();
    leader.replica.apply(new Reply.Item(StateKeys.job(JOB), JobRecord.open(spec, 0), 5));
    leader.replica.job(JOB).setDurableProgress(new BitSet(), 1);
  }

  /** Returns the actions that are possible in the current state, by name. */
  Map<String, Runnable> actions() {
    Map<String, Runnable> all = new LinkedHashMap<>();
    all.put("pass", () -> pass(newestIndex()));
    if (newestIndex() == 1) {
      all.put("pass of the earlier leader", () -> pass(0));
    } else {
      all.put("take over", this::takeOver);
    }
    if (!cancelled) {
      all.put("cancel", this::cancel);
    }
    addHeartbeatActions(all);
    for (int i = 0; i < commands.size(); i++) {
      addCommandActions(all, commands.get(i), i);
    }
    for (int i = 0; i < executed.size() && deliveredCommandCopies < 1; i++) {
      Request.WorkerCommands command = executed.get(i);
      all.put("copy of executed command " + i + " arrives", () -> deliverCopy(command));
    }
    for (Entry entry : worker.tasks.values()) {
      if (entry.state() == TaskState.RUNNING) {
        all.put("task ends " + entry.task(), () -> worker.end(entry.task(), Exit.DONE));
        all.put("task fails " + entry.task(), () -> worker.end(entry.task(), Exit.ERROR));
      }
    }
    if (worker.incarnation <= MAX_INCARNATIONS) {
      all.put(
          "the lease expires",
          () -> now += newestLeader().settings.workerTimings().leaseMicros() + SECOND_MICROS);
    }
    return all;
  }

  private void addHeartbeatActions(Map<String, Runnable> all) {
    if (heartbeat == null) {
      for (int i = 0; i < leaders.size(); i++) {
        int to = i;
        all.put(
            "heartbeat to leader " + to,
            () -> heartbeat = new InFlightHeartbeat(worker.nextHeartbeat(), to, now, false));
      }
    } else {
      if (heartbeat.exchange == 0) {
        all.put("heartbeat arrives", () -> deliver(heartbeat));
      }
      if (heartbeat.answer != null) {
        all.put("answer arrives", this::deliverAnswer);
      }
      all.put(
          "heartbeat is given up",
          () -> {
            earlierHeartbeat = heartbeat.content;
            heartbeat = null;
          });
    }
    if (earlierHeartbeat != null && deliveredCopies < 1) {
      all.put(
          "copy of an earlier heartbeat arrives",
          () -> {
            deliveredCopies++;
            deliver(new InFlightHeartbeat(earlierHeartbeat, newestIndex(), now, true));
          });
    }
  }

  private void addCommandActions(Map<String, Runnable> all, InFlightCommand command, int number) {
    if (command.reply == null) {
      all.put("command " + number + " arrives", () -> deliverCommand(command));
    } else if (!command.givenUp) {
      all.put(
          "reply " + number + " arrives",
          () -> {
            commands.remove(command);
            leaders.get(command.leader).sink.replied(command.call, command.reply);
          });
    }
    if (!command.givenUp) {
      all.put(
          "command " + number + " is given up",
          () -> {
            command.givenUp = true;
            if (command.reply != null) {
              commands.remove(command);
            }
            leaders.get(command.leader).sink.replied(command.call, new Reply.NoResponse("timeout"));
          });
    } else {
      all.put("command " + number + " is lost", () -> commands.remove(command));
    }
  }

  void perform(Runnable action) {
    now += 1_000;
    if (now > worker.leaseStartMicros + newestLeader().settings.workerTimings().leaseMicros()) {
      startIncarnation();
    }
    for (LeaderFixture leader : leaders) {
      leader.now = now;
      leader.replica.advanceTo(now);
      leader.leadership.setTime(now);
    }
    action.run();
    if (now > worker.leaseStartMicros + newestLeader().settings.workerTimings().leaseMicros()) {
      startIncarnation();
    }
    leaders.forEach(this::collectEffects);
    checkRules();
  }

  private void startIncarnation() {
    worker.incarnation++;
    worker.sequence = 0;
    worker.tasks.clear();
    worker.leaseStartMicros = now;
    heartbeat = null;
  }

  private void pass(int leaderIndex) {
    LeaderFixture leader = leaders.get(leaderIndex);
    now += 2 * SECOND_MICROS;
    leader.now = now;
    if (leaderIndex == newestIndex()) {
      leader.renew();
    }
    leader.workers.tick(now, false);
    if (leader.leadership.mayLaunch(now)) {
      leader.placement.place(now);
    }
    leader.workers.flush(now);
  }

  private void takeOver() {
    LeaderFixture first = leaders.get(0);
    Map<String, RecoveredMachine> recovered = withReplica ? recoveredMachines(first) : null;
    if (!withReplica) {
      now += first.settings.tuning().leaderTtlMicros();
    }
    LeaderFixture second = new LeaderFixture(TAKEOVER_TERM);
    second.now = now;
    second.lead();
    addJob(second);
    if (cancelled) {
      second.replica.applyCancellation(new Cancellation(JOB, 6, 0));
    }
    second.replica.apply(
        new Reply.Item(StateKeys.worker(MACHINE), new WorkerRecord("x", "t", "a", false), 4));
    second.workers.takeOver(now, Optional.ofNullable(recovered), now);
    Machine machine = second.workers.machines().get(MACHINE);
    machine.assignType(LeaderFixture.TYPE);
    machine.recomputeFreeResources();
    leaders.add(second);
    if (withReplica) {
      // The standby has taken over the term, so the first leader never launches again.
      first.workers.close();
      first.leadership.stepDown("claimed");
    }
  }

  private Map<String, RecoveredMachine> recoveredMachines(LeaderFixture first) {
    Map<Integer, Long> recoveredAttempts = new HashMap<>();
    long[] incarnation = new long[1];
    first.workers.snapshot(
        change -> {
          incarnation[0] = change.incarnation();
          if (!change.job().isEmpty()) {
            recoveredAttempts.put(change.index(), change.attempt());
          }
        });
    return Map.of(
        MACHINE,
        new RecoveredMachine(
            incarnation[0],
            recoveredAttempts.isEmpty() ? Map.of() : Map.of(JOB, recoveredAttempts)));
  }

  private void cancel() {
    cancelled = true;
    LeaderFixture leader = newestLeader();
    leader.replica.applyCancellation(new Cancellation(JOB, 6, 0));
    leader.workers.jobEnded(leader.replica.job(JOB));
  }

  private void deliver(InFlightHeartbeat delivered) {
    LeaderFixture leader = leaders.get(delivered.leader);
    if (!leader.leadership.isLeader()) {
      delivered.answer = new Answer.Redirect(null);
      delivered.exchange = -1;
      return;
    }
    delivered.exchange = leader.nextExchange();
    leader.workers.receive(delivered.exchange, delivered.content, false, now);
  }

  private void deliverAnswer() {
    if (heartbeat.answer instanceof Answer.Command command
        && worker.receiveAnswer(command, heartbeat.content.incarnation())) {
      worker.leaseStartMicros = heartbeat.sentMicros;
    }
    earlierHeartbeat = heartbeat.content;
    heartbeat = null;
  }

  private void deliverCommand(InFlightCommand command) {
    command.reply = worker.receive(command.request);
    if (command.reply.executed() && containsLaunch(command.request.orders())) {
      executed.add(command.request);
    }
    if (command.givenUp) {
      commands.remove(command);
    }
  }

  private void deliverCopy(Request.WorkerCommands command) {
    deliveredCommandCopies++;
    worker.receive(command);
  }

  /** Collects the answers and commands that a leader has sent. */
  private void collectEffects(LeaderFixture leader) {
    int leaderIndex = leaders.indexOf(leader);
    for (Effect effect : leader.effects) {
      if (effect instanceof Effect.Respond respond
          && heartbeat != null
          && heartbeat.leader == leaderIndex
          && heartbeat.exchange == respond.exchange()) {
        heartbeat.answer = respond.answer();
        checkLaunches(
            leaderIndex,
            respond.answer() instanceof Answer.Command command ? command.orders() : List.of());
      } else if (effect instanceof Effect.Call call
          && call.request() instanceof Request.WorkerCommands command) {
        commands.add(new InFlightCommand(leaderIndex, call.callId(), command));
        checkLaunches(leaderIndex, command.orders());
      }
    }
    leader.effects.clear();
  }

  private void checkLaunches(int leaderIndex, List<Order> orders) {
    if (cancelled && leaderIndex == newestIndex() && containsLaunch(orders)) {
      violations.add("launched a task of a cancelled job");
    }
  }

  private void checkRules() {
    LeaderFixture leader = newestLeader();
    if (!leader.leadership.isLeader()) {
      return;
    }
    Job job = leader.replica.job(JOB);
    boolean allConfirmed = leader.workers.unconfirmed().isEmpty();
    double usedCpus = 0;
    for (int i = 0; i < taskCount; i++) {
      TaskId task = new TaskId(JOB, i);
      usedCpus += worker.isActive(task) ? 1 : 0;
      boolean placeable = allConfirmed && !job.isAttempted(i) && !job.isCompleted(i);
      if (placeable && worker.isActive(task)) {
        violations.add(
            "ran_twice: "
                + task
                + " may be placed again by the leader but is active on the machine");
      }
      if (allConfirmed && cancelled && !job.isAttempted(i) && copyMayStart(task)) {
        violations.add("ran_cancelled: a copy of a command may start " + task);
      }
      if (placeable && !cancelled && launchMayArrive(task)) {
        violations.add(
            "ran_twice: "
                + task
                + " may be placed again by the leader but a launch of it may still be executed");
      }
    }
    if (allConfirmed && !cancelled && usedCpus > leader.quotas.cpusInUse("red") + 1e-6) {
      violations.add(
          "quota: cpus used=" + usedCpus + ", counted=" + leader.quotas.cpusInUse("red"));
    }
  }

  private boolean launchMayArrive(TaskId task) {
    boolean byCommand =
        commands.stream()
            .anyMatch(
                command ->
                    command.reply == null
                        && worker.accepts(command.request)
                        && containsLaunch(command.request.orders(), task));
    boolean byAnswer =
        heartbeat != null
            && heartbeat.answer instanceof Answer.Command command
            && command.fencingToken().isAtLeast(worker.fencingToken)
            && containsLaunch(command.orders(), task);
    return byCommand || byAnswer || copyMayStart(task);
  }

  /** Returns whether a copy of an executed command would start the task if it arrived now. */
  boolean copyMayStart(TaskId task) {
    return executed.stream()
        .filter(worker::accepts)
        .flatMap(command -> command.orders().stream())
        .anyMatch(
            order ->
                order instanceof Order.Launch
                    && order.task().equals(task)
                    && worker.wouldStart(order));
  }

  private static boolean containsLaunch(List<Order> orders) {
    return orders.stream().anyMatch(o -> o instanceof Order.Launch);
  }

  private static boolean containsLaunch(List<Order> orders, TaskId task) {
    return orders.stream().anyMatch(o -> o instanceof Order.Launch && o.task().equals(task));
  }

  /**
   * Drops all messages, runs rounds without failures and checks the final state: no task of a
   * cancelled job is active, and each task of an open job is active or completed.
   */
  void settle() {
    for (InFlightCommand command : new ArrayList<>(commands)) {
      if (!command.givenUp) {
        leaders.get(command.leader).sink.replied(command.call, new Reply.NoResponse("timeout"));
      }
    }
    commands.clear();
    heartbeat = null;
    for (int round = 0; round < 9; round++) {
      perform(
          () -> {
            heartbeat = new InFlightHeartbeat(worker.nextHeartbeat(), newestIndex(), now, false);
            deliver(heartbeat);
          });
      perform(() -> pass(newestIndex()));
      if (heartbeat != null && heartbeat.answer != null) {
        perform(this::deliverAnswer);
      }
      heartbeat = null;
      for (InFlightCommand command : new ArrayList<>(commands)) {
        perform(() -> deliverCommand(command));
        commands.remove(command);
        perform(() -> leaders.get(command.leader).sink.replied(command.call, command.reply));
      }
    }
    Job job = newestLeader().replica.job(JOB);
    for (int i = 0; i < taskCount; i++) {
      TaskId task = new TaskId(JOB, i);
      if (cancelled && worker.isActive(task)) {
        violations.add("ran_cancelled: " + task + " is still active after its cancellation");
      } else if (!cancelled && !worker.isActive(task) && !job.isCompleted(i)) {
        violations.add("not placed: " + task);
      }
    }
  }
}
