package org.eiderstair.core.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;

/**
 * Commands that wait at the leader or on their way: what must not wait with them, and what they may
 * not prove.
 */
class DelayedCommandsTest {
  private static final long SECOND = 1_000_000;
  private final LeaderFixture bench = new LeaderFixture();

  private Machine leadsOneMachine() {
    bench.startStandby();
    bench.lead();
    bench.machines(1);
    return bench.workers.machines().get("m-0");
  }

  private void pass() {
    bench.placement.place(bench.now);
    bench.workers.flush(bench.now);
    bench.standby.tick(bench.now);
  }

  private List<Answer.Command> answers() {
    return bench.effects.stream()
        .filter(
            e -> e instanceof Effect.Respond respond && respond.answer() instanceof Answer.Command)
        .map(e -> (Answer.Command) ((Effect.Respond) e).answer())
        .toList();
  }

  private List<Effect.Call> commands() {
    return bench.effects.stream()
        .filter(
            e -> e instanceof Effect.Call call && call.request() instanceof Request.WorkerCommands)
        .map(e -> (Effect.Call) e)
        .toList();
  }

  private static List<Order> orders(Effect.Call call) {
    return ((Request.WorkerCommands) call.request()).orders();
  }

  private static List<String> launched(List<Order> orders) {
    return orders.stream().filter(o -> o instanceof Order.Launch).map(o -> o.task().job()).toList();
  }

  private static List<String> killed(List<Order> orders) {
    return orders.stream().filter(o -> o instanceof Order.Kill).map(o -> o.task().job()).toList();
  }

  /** One task runs on the machine. */
  private Job running(Machine machine) {
    Job job = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    bench.report(machine, 0);
    pass();
    bench.report(machine, 0);
    pass();
    assertEquals(1, job.attemptCount());
    bench.effects.clear();
    return job;
  }

  private void cancel(Job job) {
    bench.replica.applyCancellation(new Cancellation(job.id(), bench.lastVersion + 1_000, 0));
    bench.workers.jobEnded(job);
  }

  private Reply.WorkerStatus reply(Machine machine, boolean executed, Entry... entries) {
    return new Reply.WorkerStatus(bench.heartbeat(machine, List.of(entries)), executed);
  }

  /**
   * An answer that carries a launch used to wait as a whole, for as long as the record could not be
   * written: the machine's lease ran out, and it was not ordered to stop what had been cancelled.
   */
  @Example
  void killsAndRenewalsDoNotWaitForAStandbyThatDoesNotAnswer() {
    Machine machine = leadsOneMachine();
    Job cancelled = running(machine);
    bench.deferAcknowledgements();
    bench.deferRecordWrites();
    Job kept = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    bench.report(machine, 0);
    cancel(cancelled);
    pass();
    assertEquals(List.of(), answers(), "waits for the acknowledgement");
    bench.now += SECOND / 2;
    bench.standby.tick(bench.now);
    assertEquals(1, answers().size(), "left without what it had to wait for");
    assertEquals(List.of(cancelled.id()), killed(answers().get(0).orders()));
    assertEquals(List.of(), launched(answers().get(0).orders()));
    assertEquals(1, kept.attemptCount(), "planned as before");

    bench.effects.clear();
    bench.report(machine, 0);
    pass();
    assertEquals(1, answers().size(), "nothing waits for the record");
    assertEquals(List.of(), commands(), "and nothing is launched before it");
    bench.completeRecordWrites();
    pass();
    assertEquals(
        List.of(kept.id()),
        commands().stream().flatMap(c -> launched(orders(c)).stream()).toList());
  }

  @Example
  void whatIsCancelledWhileItsLaunchWaitsForTheStandbyIsNotStarted() {
    Machine machine = leadsOneMachine();
    bench.deferAcknowledgements();
    Job kept = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    Job cancelled = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    bench.report(machine, 0);
    pass();
    assertEquals(List.of(), answers(), "waits for the acknowledgement");
    cancel(cancelled);
    bench.deliverAcknowledgements();
    assertEquals(List.of(kept.id()), launched(answers().get(0).orders()));
    assertEquals(
        1, cancelled.attemptCount(), "counts until the machine shows that it is not there");
  }

  /**
   * The same while the record of the term before still names its standby, which can take as long as
   * an outage.
   */
  @Example
  void whatIsCancelledBeforeTheRecordIsClearedIsNotStarted() {
    bench.lead();
    bench.deferRecordWrites();
    bench.startWithStandbyOfPreviousTerm();
    bench.machines(1);
    Machine machine = bench.workers.machines().get("m-0");
    Job kept = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    Job cancelled = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    bench.report(machine, 0);
    pass();
    assertEquals(1, answers().size(), "its lease is renewed");
    assertEquals(
        List.of(), answers().get(0).orders(), "nothing is launched before the record names nobody");
    assertEquals(List.of(), commands());
    cancel(cancelled);
    bench.completeRecordWrites();
    pass();
    assertEquals(
        List.of(kept.id()),
        commands().stream().flatMap(c -> launched(orders(c)).stream()).toList());
  }

  /**
   * Whoever waits for an answer is sent elsewhere when the term is over: its lease does not wait
   * for a time limit.
   */
  @Example
  void anAnswerThatWaitsForTheStandbyIsRedirectedWhenTheTermEnds() {
    Machine machine = leadsOneMachine();
    bench.deferAcknowledgements();
    bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    bench.report(machine, 0);
    pass();
    bench.effects.clear();
    bench.workers.close();
    bench.standby.endTerm();
    assertEquals(
        List.of(new Answer.Redirect(null)),
        bench.effects.stream()
            .filter(e -> e instanceof Effect.Respond)
            .map(e -> ((Effect.Respond) e).answer())
            .toList());
  }

  /**
   * A launch without an answer takes its whole time limit; what was cancelled must not wait for it.
   */
  @Example
  void aKillLeavesBesideALaunchThatIsNotAnswered() {
    Machine machine = leadsOneMachine();
    Job cancelled = running(machine);
    Job other = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    pass();
    assertEquals(1, commands().size(), "the launch is on its way");
    cancel(cancelled);
    pass();
    assertEquals(2, commands().size());
    assertEquals(List.of(cancelled.id()), killed(orders(commands().get(1))));
    // The reply to the kill was written before the launch arrived, which is late: it does not prove
    // that the launch is dead.
    bench.sink.replied(commands().get(1).callId(), reply(machine, true));
    assertEquals(1, other.attemptCount(), "still on its way");
    assertEquals(0, cancelled.attemptCount());
    bench.sink.replied(commands().get(0).callId(), new Reply.NoResponse("timeout"));
    bench.sink.replied(commands().get(1).callId(), reply(machine, true));
    assertEquals(Machine.Phase.FENCING, machine.phase());
    assertEquals(1, other.attemptCount(), "may still arrive");
  }

  /**
   * Nor for the pause after it, nor for the question that asks whether the machine has seen the
   * raised fence.
   */
  @Example
  void aKillLeavesWhileAMachineIsBeingFenced() {
    Machine machine = leadsOneMachine();
    Job cancelled = running(machine);
    bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    pass();
    bench.sink.replied(commands().get(0).callId(), new Reply.NoResponse("timeout"));
    assertEquals(Machine.Phase.FENCING, machine.phase());
    bench.effects.clear();
    cancel(cancelled);
    pass();
    assertEquals(List.of(cancelled.id()), killed(orders(commands().get(0))));
    assertEquals(
        machine.fencingToken(),
        ((Request.WorkerCommands) commands().get(0).request()).fencingToken(),
        "and shows the raised fence");
  }

  /**
   * A kill may overtake the launch: when the launch is answered and the job is over, the machine is
   * ordered again.
   */
  @Example
  void aKillThatMayHaveComeBeforeItsLaunchIsRepeated() {
    Machine machine = leadsOneMachine();
    Job job = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    bench.placement.place(bench.now);
    Attempt attempt = job.attempt(0);
    bench.workers.flush(bench.now);
    bench.standby.tick(bench.now);
    cancel(job);
    pass();
    assertEquals(List.of(job.id()), killed(orders(commands().get(1))));
    bench.sink.replied(commands().get(1).callId(), reply(machine, true));
    Entry running =
        new Entry(attempt.task(), attempt.number(), TaskState.RUNNING, Exit.NONE, false);
    bench.sink.replied(commands().get(0).callId(), reply(machine, true, running));
    pass();
    assertEquals(3, commands().size());
    assertEquals(List.of(job.id()), killed(orders(commands().get(2))));
  }

  /** A machine that cannot be reached is ordered again, but not at every pass. */
  @Example
  void aKillWithoutAnAnswerIsRepeatedAfterAPause() {
    Machine machine = leadsOneMachine();
    Job job = running(machine);
    cancel(job);
    pass();
    bench.sink.replied(commands().get(0).callId(), new Reply.NoResponse("refused"));
    pass();
    assertEquals(1, commands().size());
    bench.now += SECOND;
    pass();
    assertEquals(2, commands().size());
    assertTrue(machine.commands().isKillInFlight());
  }

  /**
   * A heartbeat of a machine that an earlier term deleted arrives late: the new leader knows
   * nothing of the machine. What it shows may hold its tasks back for no longer than a lease can
   * last, also while the cloud does not answer.
   */
  @Example
  void aLateReportOfADeletedMachineHoldsNothingBackForLong() {
    bench.lead();
    Job job = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    Entry running = new Entry(new TaskId(job.id(), 0), 5, TaskState.RUNNING, Exit.NONE, false);
    FencingToken earlierToken = new FencingToken(7);
    bench.workers.receive(
        1,
        new Heartbeat(
            "m-gone",
            "x",
            "t",
            "a",
            true,
            3,
            99,
            earlierToken,
            Heartbeat.NO_NOTICE,
            List.of(running)),
        false,
        bench.now);
    assertEquals(1, job.attemptCount(), "counts at first: nothing has shown that it is not there");
    pass();
    bench.workers.tick(bench.now + bench.settings.workerTimings().leaseMicros(), false);
    assertEquals(1, job.attemptCount());
    bench.workers.tick(
        bench.now + bench.settings.workerTimings().leaseMicros() + 2 * SECOND, false);
    assertEquals(0, job.attemptCount(), "its lease is over");
  }

  /** If it is alive after all, its own word decides. */
  @Example
  void anUnknownMachineThatAnswersIsKnown() {
    bench.lead();
    Job job = bench.job("red", JobSpec.Priority.NORMAL, 1, 1);
    Entry running = new Entry(new TaskId(job.id(), 0), 5, TaskState.RUNNING, Exit.NONE, false);
    bench.workers.receive(
        1,
        new Heartbeat(
            "m-0",
            "x",
            "t",
            "a",
            true,
            1,
            9,
            new FencingToken(7),
            Heartbeat.NO_NOTICE,
            List.of(running)),
        false,
        bench.now);
    Machine machine = bench.workers.machines().get("m-0");
    assertEquals(Machine.Phase.FENCING, machine.phase());
    assertEquals(bench.now, machine.idleSinceMicros(), "idle from now, not since it was expected");
    bench.workers.tick(bench.now, false);
    assertEquals(1, commands().size(), "is asked, with this term's token");
    bench.continueSequenceFrom("m-0", 9L);
    bench.sink.replied(commands().get(0).callId(), reply(machine, true, running));
    assertEquals(Machine.Phase.CONFIRMED, machine.phase());
    assertEquals(1, job.attemptCount());
  }

  /**
   * A machine that has just booted has seen no fencing token and holds nothing: its first heartbeat
   * costs no question.
   */
  @Example
  void aMachineThatHasJustBootedIsNotAsked() {
    bench.lead();
    bench.workers.receive(
        1,
        new Heartbeat(
            "m-new", "x", "t", "a", true, 1, 1, FencingToken.NONE, Heartbeat.NO_NOTICE, List.of()),
        false,
        bench.now);
    pass();
    bench.workers.tick(bench.now, false);
    assertEquals(List.of(), commands());
    assertEquals(Machine.Phase.BOOTING, bench.workers.machines().get("m-new").phase());
  }
}
