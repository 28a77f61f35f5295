package org.eiderstair.core.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.JobSpecBuilder;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.settings.SettingsBuilder;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.IgnoringReplicaListener;
import org.eiderstair.core.state.Replica;

/** Tests which facts a heartbeat proves to the leader, and which heartbeats are answered. */
class WorkerManagerTest {
  private static final MachineType TYPE =
      new MachineType("t", 8, 2, 32, 10, 1, 1, 0.3, 30_000_000, List.of("a"));
  private final Settings settings = SettingsBuilder.settings().team("red", 0, 0).build();
  private final List<Answer.Command> answers = new ArrayList<>();
  private final List<Effect.Respond> responds = new ArrayList<>();
  private final EffectSink sink =
      new EffectSink(
          e -> {
            if (e instanceof Effect.Respond r) {
              responds.add(r);
            }
            if (e instanceof Effect.Respond r && r.answer() instanceof Answer.Command c) {
              answers.add(c);
            }
          });
  private final Replica replica = new Replica(settings, sink, new IgnoringReplicaListener(), 0);
  private final WorkerManager workers = workersOn(sink);
  private final Machine machine = new Machine("m", 1, Machine.Phase.CONFIRMED, 0);
  private final TaskId task = new TaskId("job-1", 0);
  private Job job;
  private long exchange;
  private Attempt attempt;

  private void startAttempt(Attempt.Phase phase) {
    JobSpec spec =
        JobSpecBuilder.job("job-1")
            .tasks(2)
            .accelerators(1)
            .checkpoints(30_000_000, 4_000_000)
            .build();
    replica.apply(new Reply.Item(StateKeys.job("job-1"), JobRecord.open(spec, 0), 5));
    job = replica.job("job-1");
    job.setDurableProgress(new BitSet(), 1);
    machine.describe("x", "t", null, false);
    machine.assignType(TYPE);
    machine.markRegistered();
    machine.recoverIncarnation(1);
    workers.add(machine);
    attempt = new Attempt(job, 0, 77, machine, phase);
    workers.attach(attempt);
  }

  private Leadership leadership() {
    return new Leadership(settings, sink, replica, "run", n -> 0, null);
  }

  private void receive(Heartbeat heartbeat, long nowMicros) {
    workers.receive(++exchange, heartbeat, false, nowMicros);
  }

  private Heartbeat heartbeat(
      long incarnation, long sequence, FencingToken fencingToken, long notice, Entry... entries) {
    return new Heartbeat(
        "m", "x", "t", "a", true, incarnation, sequence, fencingToken, notice, List.of(entries));
  }

  private WorkerManager workersOn(EffectSink effects) {
    return new WorkerManager(
        settings,
        effects,
        replica,
        leadership(),
        null,
        new AvailableMachines(10),
        new TeamQuotas(settings),
        new Standby("n0", "run", text -> {}),
        new OverloadMonitor(settings, effects),
        1);
  }

  @Example
  void heartbeatDuringCommandDoesNotFreeAttempt() {
    startAttempt(Attempt.Phase.SENT);
    machine.commands().beginCommand();
    receive(heartbeat(1, 1, machine.fencingToken(), -1), 1_000_000);
    assertEquals(attempt, job.attempt(0));
    machine.commands().endCommand();
    receive(heartbeat(1, 2, machine.fencingToken(), -1), 2_000_000);
    assertEquals(0, job.attemptCount());
  }

  /**
   * A command that got no reply may still arrive minutes later, until the machine has seen a higher
   * fence. Its launch must not be taken for lost before.
   */
  @Example
  void lostCommandIsSettledOnlyByRaisedFence() {
    startAttempt(Attempt.Phase.SENT);
    FencingToken before = machine.fencingToken();
    machine.fence().raise();
    machine.enterPhase(Machine.Phase.FENCING);
    receive(heartbeat(1, 1, before, -1), 1_000_000);
    assertEquals(attempt, job.attempt(0));
    receive(heartbeat(1, 2, machine.fencingToken(), -1), 2_000_000);
    assertEquals(0, job.attemptCount());
    assertEquals(Machine.Phase.CONFIRMED, machine.phase());
  }

  @Example
  void outdatedHeartbeatChangesNothing() {
    startAttempt(Attempt.Phase.REPORTED);
    receive(
        heartbeat(
            1,
            9,
            machine.fencingToken(),
            -1,
            new Entry(task, 77, TaskState.RUNNING, Exit.NONE, false)),
        1);
    receive(heartbeat(1, 8, machine.fencingToken(), -1), 2);
    assertEquals(attempt, job.attempt(0));
  }

  @Example
  void preemptionNoticeStopsTasksWithCheckpoints() {
    startAttempt(Attempt.Phase.REPORTED);
    Entry running = new Entry(task, 77, TaskState.RUNNING, Exit.NONE, false);
    receive(heartbeat(1, 1, machine.fencingToken(), 12_000_000, running), 1_000_000);
    workers.flush(1_000_000);
    assertEquals(List.of(new Order.Kill(task, 77, 4_000_000)), answers.get(0).orders());
    assertEquals(Machine.Plan.DRAIN, machine.plan());
  }

  /**
   * Seconds may pass between a decision and its effect. Answers and commands must not be sent after
   * the end of the lease that allowed them.
   */
  @Example
  void answersAndCommandsAreNotSentAfterTheirDeadline() {
    Effect.Respond respond =
        new Effect.Respond(
            1,
            new Answer.Command(new FencingToken(1), List.of(new Order.Launch(task, 77))),
            5_000_000);
    assertTrue(respond.answerAt(5_000_000) instanceof Answer.Command);
    assertTrue(
        respond.answerAt(5_000_001) instanceof Answer.Failure failure && failure.status() == 503);
    Effect.Call call =
        new Effect.Call(
            1, new Request.WorkerCommands("x", new FencingToken(1), 1, List.of()), 5_000_000);
    assertFalse(call.isExpired(5_000_000));
    assertTrue(call.isExpired(5_000_001));
    assertTrue(Effect.Call.EXPIRED instanceof Reply.NoResponse);
    // The leader's answer to a heartbeat has such a deadline.
    List<Effect> sent = new ArrayList<>();
    EffectSink sending = new EffectSink(sent::add);
    WorkerManager otherManager = workersOn(sending);
    startAttempt(Attempt.Phase.REPORTED);
    otherManager.add(machine);
    otherManager.receive(9, heartbeat(1, 1, machine.fencingToken(), -1), false, 1_000_000);
    otherManager.flush(1_000_000);
    assertTrue(
        sent.stream()
            .anyMatch(
                e -> e instanceof Effect.Respond r && r.deadlineMicros() < Effect.NO_DEADLINE));
  }

  private List<Long> answeredExchanges() {
    return responds.stream()
        .filter(r -> r.answer() instanceof Answer.Command)
        .map(Effect.Respond::exchange)
        .toList();
  }

  /**
   * A launch in the answer to a heartbeat of an ended incarnation reaches no worker. Such launches
   * were settled only minutes later.
   */
  @Example
  void pendingHeartbeatOfEarlierIncarnationIsRefused() {
    startAttempt(Attempt.Phase.REPORTED);
    receive(heartbeat(1, 500, machine.fencingToken(), -1), 1_000_000);
    receive(heartbeat(2, 1, machine.fencingToken(), -1), 1_001_000);
    workers.flush(1_002_000);
    assertEquals(List.of(2L), answeredExchanges());
    assertEquals(2, responds.size());
  }

  /**
   * A late copy of a heartbeat of the previous incarnation is refused, and the pending heartbeat of
   * the current incarnation stays pending.
   */
  @Example
  void lateCopyOfEarlierIncarnationIsRefused() {
    startAttempt(Attempt.Phase.REPORTED);
    receive(heartbeat(1, 500, machine.fencingToken(), -1), 1_000_000);
    workers.flush(1_001_000);
    receive(heartbeat(2, 1, machine.fencingToken(), -1), 2_000_000);
    receive(heartbeat(1, 499, machine.fencingToken(), -1), 2_001_000);
    workers.flush(2_002_000);
    assertEquals(List.of(1L, 2L), answeredExchanges());
    assertEquals(2, machine.incarnation());
    assertEquals(503, ((Answer.Failure) responds.get(1).answer()).status());
  }

  /**
   * Until the completion of a task is durable, the machine holds the only record that a later
   * leader would find.
   */
  @Example
  void completedTaskIsAcknowledgedOnlyOnceDurable() {
    LeaderFixture leader = new LeaderFixture();
    leader.lead();
    leader.machines(1);
    Machine target = leader.workers.machines().get("m-0");
    Job twoTaskJob = leader.job("red", JobSpec.Priority.NORMAL, 2, 1);
    leader.report(target, 0);
    leader.placement.place(leader.now);
    leader.workers.flush(leader.now);
    List<Entry> entries = new ArrayList<>();
    twoTaskJob
        .attempts()
        .forEach(
            a -> entries.add(new Entry(a.task(), a.number(), TaskState.ENDED, Exit.DONE, false)));
    assertEquals(List.of(), acknowledgementsAfter(leader, target, entries.get(0)));
    assertTrue(twoTaskJob.isCompleted(entries.get(0).task().index()));
    BitSet durable = new BitSet();
    durable.set(entries.get(0).task().index());
    twoTaskJob.setDurableProgress(durable, 1);
    assertEquals(
        List.of(new Order.Acknowledge(entries.get(0).task(), entries.get(0).attempt())),
        acknowledgementsAfter(leader, target, entries.get(0)));
  }

  private static List<Order> acknowledgementsAfter(
      LeaderFixture leader, Machine target, Entry entry) {
    leader.effects.clear();
    Heartbeat heartbeat = leader.heartbeat(target, List.of(entry));
    leader.workers.receive(leader.nextExchange(), heartbeat, false, leader.now);
    leader.workers.flush(leader.now);
    return leader.effects.stream()
        .filter(e -> e instanceof Effect.Respond)
        .flatMap(e -> ((Answer.Command) ((Effect.Respond) e).answer()).orders().stream())
        .filter(o -> o instanceof Order.Acknowledge)
        .toList();
  }

  /** A late copy renews no lease, records no contact and carries no launch. */
  @Example
  void lateCopyOfHeartbeatIsRefused() {
    startAttempt(Attempt.Phase.REPORTED);
    Entry running = new Entry(task, 77, TaskState.RUNNING, Exit.NONE, false);
    receive(heartbeat(1, 8, machine.fencingToken(), -1, running), 1_000_000);
    workers.flush(1_001_000);
    receive(heartbeat(1, 9, machine.fencingToken(), -1, running), 4_000_000);
    workers.flush(4_001_000);
    long lastContactMicros = machine.lastContactMicros();
    long answeredMicros = machine.answeredMicros();
    receive(heartbeat(1, 8, machine.fencingToken(), -1), 9_000_000);
    receive(heartbeat(1, 9, machine.fencingToken(), -1, running), 9_500_000);
    workers.flush(9_600_000);
    assertEquals(List.of(1L, 2L), answeredExchanges());
    assertEquals(lastContactMicros, machine.lastContactMicros());
    assertEquals(answeredMicros, machine.answeredMicros());
    assertEquals(attempt, job.attempt(0));
  }

  @Example
  void newIncarnationFreesAllAttempts() {
    startAttempt(Attempt.Phase.REPORTED);
    receive(heartbeat(2, 1, machine.fencingToken(), -1), 30_000_000);
    assertEquals(0, job.attemptCount());
  }
}
