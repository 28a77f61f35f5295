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

/** What a heartbeat may and may not prove. */
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

  private void launched(Attempt.Phase phase) {
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

  private void reported(Heartbeat report, long nowMicros) {
    workers.receive(++exchange, report, false, nowMicros);
  }

  private Heartbeat report(
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
  void aReportWhileACommandIsOnItsWayDoesNotFreeItsTask() {
    launched(Attempt.Phase.SENT);
    machine.commands().begin();
    reported(report(1, 1, machine.fencingToken(), -1), 1_000_000);
    assertEquals(attempt, job.attempt(0));
    machine.commands().end();
    reported(report(1, 2, machine.fencingToken(), -1), 2_000_000);
    assertEquals(0, job.attemptCount());
  }

  /**
   * A command without an answer may arrive minutes later, until the machine has seen a higher
   * fence.
   */
  @Example
  void afterALostCommandOnlyTheRaisedFenceProves() {
    launched(Attempt.Phase.SENT);
    FencingToken before = machine.fencingToken();
    machine.raiseFence();
    machine.enterPhase(Machine.Phase.FENCING);
    reported(report(1, 1, before, -1), 1_000_000);
    assertEquals(attempt, job.attempt(0));
    reported(report(1, 2, machine.fencingToken(), -1), 2_000_000);
    assertEquals(0, job.attemptCount());
    assertEquals(Machine.Phase.CONFIRMED, machine.phase());
  }

  @Example
  void anOlderReportThatComesLateChangesNothing() {
    launched(Attempt.Phase.REPORTED);
    reported(
        report(
            1,
            9,
            machine.fencingToken(),
            -1,
            new Entry(task, 77, TaskState.RUNNING, Exit.NONE, false)),
        1);
    reported(report(1, 8, machine.fencingToken(), -1), 2);
    assertEquals(attempt, job.attempt(0));
  }

  @Example
  void aNoticeTellsTasksWithCheckpointsToSaveInTime() {
    launched(Attempt.Phase.REPORTED);
    Entry running = new Entry(task, 77, TaskState.RUNNING, Exit.NONE, false);
    reported(report(1, 1, machine.fencingToken(), 12_000_000, running), 1_000_000);
    workers.flush(1_000_000);
    assertEquals(List.of(new Order.Kill(task, 77, 4_000_000)), answers.get(0).orders());
    assertEquals(Machine.Plan.DRAIN, machine.plan());
  }

  /**
   * Seconds may lie between a decision and its effect: what the lease allowed must not leave after
   * its end.
   */
  @Example
  void whatALeaseAllowedIsNotSentAfterItsEnd() {
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
    // And every answer and command of the leader bears such a time.
    List<Effect> sent = new ArrayList<>();
    EffectSink sending = new EffectSink(sent::add);
    WorkerManager other = workersOn(sending);
    launched(Attempt.Phase.REPORTED);
    other.add(machine);
    other.receive(9, report(1, 1, machine.fencingToken(), -1), false, 1_000_000);
    other.flush(1_000_000);
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
   * What is launched in the answer to a heartbeat of an ended incarnation reaches nobody, and was
   * settled minutes later.
   */
  @Example
  void aReportOfAnEarlierSessionIsNotAnsweredOnceTheNextIsHere() {
    launched(Attempt.Phase.REPORTED);
    reported(report(1, 500, machine.fencingToken(), -1), 1_000_000);
    reported(report(2, 1, machine.fencingToken(), -1), 1_001_000);
    workers.flush(1_002_000);
    assertEquals(List.of(2L), answeredExchanges());
    assertEquals(2, responds.size());
  }

  /**
   * A copy of a heartbeat of the incarnation before is answered to nobody, and the one that waits
   * goes on waiting.
   */
  @Example
  void aLateCopyOfAnEarlierSessionIsNotAnswered() {
    launched(Attempt.Phase.REPORTED);
    reported(report(1, 500, machine.fencingToken(), -1), 1_000_000);
    workers.flush(1_001_000);
    reported(report(2, 1, machine.fencingToken(), -1), 2_000_000);
    reported(report(1, 499, machine.fencingToken(), -1), 2_001_000);
    workers.flush(2_002_000);
    assertEquals(List.of(1L, 2L), answeredExchanges());
    assertEquals(2, machine.incarnation());
    assertEquals(503, ((Answer.Failure) responds.get(1).answer()).status());
  }

  /**
   * Until its end is durable, the machine's own record of a task that is done is the only one that
   * a next leader would find.
   */
  @Example
  void whatIsDoneIsReapedOnlyOnceThatIsDurable() {
    LeaderFixture bench = new LeaderFixture();
    bench.lead();
    bench.machines(1);
    Machine m = bench.workers.machines().get("m-0");
    Job one = bench.job("red", JobSpec.Priority.NORMAL, 2, 1);
    bench.report(m, 0);
    bench.placement.place(bench.now);
    bench.workers.flush(bench.now);
    List<Entry> shown = new ArrayList<>();
    one.attempts()
        .forEach(
            a -> shown.add(new Entry(a.task(), a.number(), TaskState.ENDED, Exit.DONE, false)));
    assertEquals(List.of(), reapsAfter(bench, m, shown.get(0)));
    assertTrue(one.isCompleted(shown.get(0).task().index()));
    BitSet durable = new BitSet();
    durable.set(shown.get(0).task().index());
    one.setDurableProgress(durable, 1);
    assertEquals(
        List.of(new Order.Acknowledge(shown.get(0).task(), shown.get(0).attempt())),
        reapsAfter(bench, m, shown.get(0)));
  }

  private static List<Order> reapsAfter(LeaderFixture bench, Machine m, Entry entry) {
    bench.effects.clear();
    Heartbeat report = bench.heartbeat(m, List.of(entry));
    bench.workers.receive(bench.nextExchange(), report, false, bench.now);
    bench.workers.flush(bench.now);
    return bench.effects.stream()
        .filter(e -> e instanceof Effect.Respond)
        .flatMap(e -> ((Answer.Command) ((Effect.Respond) e).answer()).orders().stream())
        .filter(o -> o instanceof Order.Acknowledge)
        .toList();
  }

  /** A copy renews nothing, moves no clock and takes no launch with it. */
  @Example
  void aLateCopyOfAReportIsNotAnswered() {
    launched(Attempt.Phase.REPORTED);
    Entry running = new Entry(task, 77, TaskState.RUNNING, Exit.NONE, false);
    reported(report(1, 8, machine.fencingToken(), -1, running), 1_000_000);
    workers.flush(1_001_000);
    reported(report(1, 9, machine.fencingToken(), -1, running), 4_000_000);
    workers.flush(4_001_000);
    long heard = machine.lastContactMicros();
    long answered = machine.answeredMicros();
    reported(report(1, 8, machine.fencingToken(), -1), 9_000_000);
    reported(report(1, 9, machine.fencingToken(), -1, running), 9_500_000);
    workers.flush(9_600_000);
    assertEquals(List.of(1L, 2L), answeredExchanges());
    assertEquals(heard, machine.lastContactMicros());
    assertEquals(answered, machine.answeredMicros());
    assertEquals(attempt, job.attempt(0));
  }

  @Example
  void aNewSessionFreesEverything() {
    launched(Attempt.Phase.REPORTED);
    reported(report(2, 1, machine.fencingToken(), -1), 30_000_000);
    assertEquals(0, job.attemptCount());
  }
}
