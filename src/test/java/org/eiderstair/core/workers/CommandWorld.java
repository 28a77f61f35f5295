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
 * One machine, a leader and perhaps the next one, and all messages between them. What breaks a rule
 * is in {@link #broken}.
 */
final class CommandWorld {
  static final String JOB = "job-1";
  static final String MACHINE = "m-0";
  private static final long SECOND = 1_000_000;
  private static final long SECOND_TERM = 1_000;
  private static final int MAX_INCARNATIONS = 2;

  final List<LeaderFixture> leaders = new ArrayList<>();
  final int taskCount;
  final boolean withReplica;
  final SearchWorker worker = new SearchWorker();
  final List<InFlightCommand> commands = new ArrayList<>();
  InFlightHeartbeat report;
  Heartbeat earlier;
  int copies;
  boolean cancelled;
  boolean losesKills;
  long now = SECOND;
  final List<String> broken = new ArrayList<>();

  CommandWorld(int taskCount, boolean withReplica) {
    this.taskCount = taskCount;
    this.withReplica = withReplica;
    LeaderFixture first = new LeaderFixture();
    first.now = now;
    first.lead();
    first.machines(1);
    Machine machine = first.workers.machines().get(MACHINE);
    machine.recordAnswer(now);
    worker.fencingToken = machine.fencingToken();
    worker.answeredSentMicros = now;
    addJob(first);
    leaders.add(first);
  }

  int newest() {
    return leaders.size() - 1;
  }

  LeaderFixture newestLeader() {
    return leaders.get(newest());
  }

  private void addJob(LeaderFixture leader) {
    JobSpec spec = JobSpecBuilder.job(JOB).tasks(taskCount).build();
    leader.replica.apply(new Reply.Item(StateKeys.job(JOB), JobRecord.open(spec, 0), 5));
    leader.replica.job(JOB).setDurableProgress(new BitSet(), 1);
  }

  /** What may happen next. */
  Map<String, Runnable> actions() {
    Map<String, Runnable> all = new LinkedHashMap<>();
    all.put("pass", () -> pass(newest()));
    if (newest() == 1) {
      all.put("pass of the old leader", () -> pass(0));
    } else {
      all.put("take over", this::takeOver);
    }
    if (!cancelled) {
      all.put("cancel", this::cancel);
    }
    reportActions(all);
    for (int i = 0; i < commands.size(); i++) {
      commandActions(all, commands.get(i), i);
    }
    for (Entry entry : worker.tasks.values()) {
      if (entry.state() == TaskState.RUNNING) {
        all.put(
            "ends " + entry.task(),
            () ->
                worker.tasks.put(
                    entry.task(),
                    new Entry(entry.task(), entry.attempt(), TaskState.ENDED, Exit.DONE, false)));
      }
    }
    if (worker.incarnation <= MAX_INCARNATIONS) {
      all.put(
          "a lease passes",
          () -> now += newestLeader().settings.workerTimings().leaseMicros() + SECOND);
    }
    return all;
  }

  private void reportActions(Map<String, Runnable> all) {
    if (report == null) {
      for (int i = 0; i < leaders.size(); i++) {
        int to = i;
        all.put(
            "report to " + to, () -> report = new InFlightHeartbeat(worker.view(), to, now, false));
      }
    } else {
      if (report.exchange == 0) {
        all.put("report arrives", () -> deliver(report));
      }
      if (report.answer != null) {
        all.put("answer arrives", this::answered);
      }
      all.put(
          "report is given up",
          () -> {
            earlier = report.content;
            report = null;
          });
    }
    if (earlier != null && copies < 1) {
      all.put(
          "copy of an earlier report",
          () -> {
            copies++;
            deliver(new InFlightHeartbeat(earlier, newest(), now, true));
          });
    }
  }

  private void commandActions(Map<String, Runnable> all, InFlightCommand command, int number) {
    if (command.reply == null) {
      all.put("command " + number + " arrives", () -> arrives(command));
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

  void act(Runnable action) {
    now += 1_000;
    if (now > worker.answeredSentMicros + newestLeader().settings.workerTimings().leaseMicros()) {
      newIncarnation();
    }
    for (LeaderFixture leader : leaders) {
      leader.now = now;
      leader.replica.advanceTo(now);
      leader.leadership.setTime(now);
    }
    action.run();
    if (now > worker.answeredSentMicros + newestLeader().settings.workerTimings().leaseMicros()) {
      newIncarnation();
    }
    leaders.forEach(this::collect);
    check();
  }

  private void newIncarnation() {
    worker.incarnation++;
    worker.sequence = 0;
    worker.tasks.clear();
    worker.answeredSentMicros = now;
    report = null;
  }

  private void pass(int leaderIndex) {
    LeaderFixture leader = leaders.get(leaderIndex);
    now += 2 * SECOND;
    leader.now = now;
    if (leaderIndex == newest()) {
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
    Map<String, RecoveredMachine> recovered = withReplica ? recovered(first) : null;
    if (!withReplica) {
      now += first.settings.tuning().leaderTtlMicros();
    }
    LeaderFixture second = new LeaderFixture(SECOND_TERM);
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
      // Its standby has taken over the term: it never launches again.
      first.workers.close();
      first.leadership.stepDown("claimed");
    }
  }

  private Map<String, RecoveredMachine> recovered(LeaderFixture first) {
    Map<Integer, Long> held = new HashMap<>();
    long[] incarnation = new long[1];
    first.workers.snapshot(
        change -> {
          incarnation[0] = change.incarnation();
          if (!change.job().isEmpty()) {
            held.put(change.index(), change.attempt());
          }
        });
    return Map.of(
        MACHINE,
        new RecoveredMachine(incarnation[0], held.isEmpty() ? Map.of() : Map.of(JOB, held)));
  }

  private void cancel() {
    cancelled = true;
    LeaderFixture leader = newestLeader();
    leader.replica.applyCancellation(new Cancellation(JOB, 6, 0));
    leader.workers.jobEnded(leader.replica.job(JOB));
  }

  private void deliver(InFlightHeartbeat heartbeat) {
    LeaderFixture leader = leaders.get(heartbeat.leader);
    if (!leader.leadership.isLeader()) {
      heartbeat.answer = new Answer.Redirect(null);
      heartbeat.exchange = -1;
      return;
    }
    heartbeat.exchange = leader.nextExchange();
    leader.workers.receive(heartbeat.exchange, heartbeat.content, false, now);
  }

  private void answered() {
    if (report.answer instanceof Answer.Command command
        && command.fencingToken().isAtLeast(worker.fencingToken)
        && report.content.incarnation() == worker.incarnation) {
      worker.fencingToken = command.fencingToken();
      worker.answeredSentMicros = report.sentMicros;
      execute(command.orders());
    }
    earlier = report.content;
    report = null;
  }

  private void execute(List<Order> orders) {
    orders.stream().filter(o -> !losesKills || !(o instanceof Order.Kill)).forEach(worker::execute);
  }

  private void arrives(InFlightCommand command) {
    boolean valid =
        command.request.fencingToken().isAtLeast(worker.fencingToken)
            && command.request.incarnation() == worker.incarnation;
    if (valid) {
      worker.fencingToken = command.request.fencingToken();
      execute(command.request.orders());
    }
    command.reply = new Reply.WorkerStatus(worker.view(), valid);
    if (command.givenUp) {
      commands.remove(command);
    }
  }

  /** Takes what a leader has sent. */
  private void collect(LeaderFixture leader) {
    int leaderIndex = leaders.indexOf(leader);
    for (Effect effect : leader.effects) {
      if (effect instanceof Effect.Respond respond
          && report != null
          && report.leader == leaderIndex
          && report.exchange == respond.exchange()) {
        report.answer = respond.answer();
        noteLaunches(
            leaderIndex,
            respond.answer() instanceof Answer.Command command ? command.orders() : List.of());
      } else if (effect instanceof Effect.Call call
          && call.request() instanceof Request.WorkerCommands command) {
        commands.add(new InFlightCommand(leaderIndex, call.callId(), command));
        noteLaunches(leaderIndex, command.orders());
      }
    }
    leader.effects.clear();
  }

  private void noteLaunches(int leaderIndex, List<Order> orders) {
    if (cancelled
        && leaderIndex == newest()
        && orders.stream().anyMatch(o -> o instanceof Order.Launch)) {
      broken.add("launched what is cancelled");
    }
  }

  private void check() {
    LeaderFixture leader = newestLeader();
    if (!leader.leadership.isLeader()) {
      return;
    }
    Job job = leader.replica.job(JOB);
    boolean whole = leader.workers.unconfirmed().isEmpty();
    double used = 0;
    for (int i = 0; i < taskCount; i++) {
      TaskId task = new TaskId(JOB, i);
      used += worker.alive(task) ? 1 : 0;
      boolean free = whole && !job.isAttempted(i) && !job.isCompleted(i);
      if (free && worker.alive(task)) {
        broken.add("ran_twice: " + task + " is free for the leader and alive on the machine");
      }
      if (free && !cancelled && launchMayArrive(task)) {
        broken.add(
            "ran_twice: "
                + task
                + " is free for the leader, and a launch of it may yet be executed");
      }
    }
    if (whole && !cancelled && used > leader.quotas.cpusInUse("red") + 1e-6) {
      broken.add("quota: uses " + used + ", counted " + leader.quotas.cpusInUse("red"));
    }
  }

  private boolean launchMayArrive(TaskId task) {
    boolean byCommand =
        commands.stream()
            .anyMatch(
                command ->
                    command.reply == null
                        && command.request.fencingToken().isAtLeast(worker.fencingToken)
                        && command.request.incarnation() == worker.incarnation
                        && launches(command.request.orders(), task));
    boolean byAnswer =
        report != null
            && report.answer instanceof Answer.Command command
            && command.fencingToken().isAtLeast(worker.fencingToken)
            && launches(command.orders(), task);
    return byCommand || byAnswer;
  }

  private static boolean launches(List<Order> orders, TaskId task) {
    return orders.stream().anyMatch(o -> o instanceof Order.Launch && o.task().equals(task));
  }

  /** All messages are lost or over, and nothing fails any more. */
  void settle() {
    for (InFlightCommand command : new ArrayList<>(commands)) {
      if (!command.givenUp) {
        leaders.get(command.leader).sink.replied(command.call, new Reply.NoResponse("timeout"));
      }
    }
    commands.clear();
    report = null;
    for (int round = 0; round < 9; round++) {
      act(
          () -> {
            report = new InFlightHeartbeat(worker.view(), newest(), now, false);
            deliver(report);
          });
      act(() -> pass(newest()));
      if (report != null && report.answer != null) {
        act(this::answered);
      }
      report = null;
      for (InFlightCommand command : new ArrayList<>(commands)) {
        act(() -> arrives(command));
        commands.remove(command);
        act(() -> leaders.get(command.leader).sink.replied(command.call, command.reply));
      }
    }
    Job job = newestLeader().replica.job(JOB);
    for (int i = 0; i < taskCount; i++) {
      TaskId task = new TaskId(JOB, i);
      if (cancelled && worker.alive(task)) {
        broken.add("ran_cancelled: " + task + " goes on");
      } else if (!cancelled && !worker.alive(task) && !job.isCompleted(i)) {
        broken.add("not placed: " + task);
      }
    }
  }
}
