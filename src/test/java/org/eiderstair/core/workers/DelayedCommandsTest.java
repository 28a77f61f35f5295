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
 * Tests commands that are delayed at the leader or in flight: what must not be delayed with them,
 * and what their replies do not prove.
 */
class DelayedCommandsTest {
  private static final long SECOND_MICROS = 1_000_000;
  private final LeaderFixture leader = new LeaderFixture();

  private Machine leadOneMachine() {
    leader.startStandby();
    leader.lead();
    leader.machines(1);
    return leader.workers.machines().get("m-0");
  }

  private void runPass() {
    leader.placement.place(leader.now);
    leader.workers.flush(leader.now);
    leader.standby.tick(leader.now);
  }

  private List<Answer.Command> answers() {
    return leader.effects.stream()
        .filter(
            e -> e instanceof Effect.Respond respond && respond.answer() instanceof Answer.Command)
        .map(e -> (Answer.Command) ((Effect.Respond) e).answer())
        .toList();
  }

  private List<Effect.Call> commands() {
    return leader.effects.stream()
        .filter(
            e -> e instanceof Effect.Call call && call.request() instanceof Request.WorkerCommands)
        .map(e -> (Effect.Call) e)
        .toList();
  }

  private static List<Order> orders(Effect.Call call) {
    return ((Request.WorkerCommands) call.request()).orders();
  }

  private static List<String> launchedJobs(List<Order> orders) {
    return orders.stream().filter(o -> o instanceof Order.Launch).map(o -> o.task().job()).toList();
  }

  private static List<String> killedJobs(List<Order> orders) {
    return orders.stream().filter(o -> o instanceof Order.Kill).map(o -> o.task().job()).toList();
  }

  /** Starts a job with one task on the machine and clears the recorded effects. */
  private Job startTask(Machine machine) {
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    leader.report(machine, 0);
    runPass();
    leader.report(machine, 0);
    runPass();
    assertEquals(1, job.attemptCount());
    leader.effects.clear();
    return job;
  }

  private void cancel(Job job) {
    leader.replica.applyCancellation(new Cancellation(job.id(), leader.lastVersion + 1_000, 0));
    leader.workers.jobEnded(job);
  }

  private Reply.WorkerStatus reply(Machine machine, boolean executed, Entry... entries) {
    return new Reply.WorkerStatus(leader.heartbeat(machine, List.of(entries)), executed);
  }

  /**
   * An answer with a launch must not wait as a whole while the standby's record cannot be written.
   * When it did, the machine's lease expired, and the machine got no kill for a cancelled job.
   */
  @Example
  void killsAndLeaseRenewalsDoNotWaitForUnresponsiveStandby() {
    Machine machine = leadOneMachine();
    Job cancelled = startTask(machine);
    leader.deferAcknowledgements();
    leader.deferRecordWrites();
    Job kept = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    leader.report(machine, 0);
    cancel(cancelled);
    runPass();
    assertEquals(List.of(), answers(), "the answer waits for the acknowledgement");
    leader.now += SECOND_MICROS / 2;
    leader.standby.tick(leader.now);
    assertEquals(1, answers().size(), "the answer is sent without the launch");
    assertEquals(List.of(cancelled.id()), killedJobs(answers().get(0).orders()));
    assertEquals(List.of(), launchedJobs(answers().get(0).orders()));
    assertEquals(1, kept.attemptCount(), "the launch is planned again");

    leader.effects.clear();
    leader.report(machine, 0);
    runPass();
    assertEquals(1, answers().size(), "the answer does not wait for the record");
    assertEquals(List.of(), commands(), "nothing is launched before the record is written");
    leader.completeRecordWrites();
    runPass();
    assertEquals(
        List.of(kept.id()),
        commands().stream().flatMap(c -> launchedJobs(orders(c)).stream()).toList());
  }

  @Example
  void jobCancelledDuringReplicationIsNotLaunched() {
    Machine machine = leadOneMachine();
    leader.deferAcknowledgements();
    Job kept = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    Job cancelled = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    leader.report(machine, 0);
    runPass();
    assertEquals(List.of(), answers(), "the answer waits for the acknowledgement");
    cancel(cancelled);
    leader.deliverAcknowledgements();
    assertEquals(List.of(kept.id()), launchedJobs(answers().get(0).orders()));
    assertEquals(
        1, cancelled.attemptCount(), "the attempt counts until a heartbeat shows that it is gone");
  }

  /**
   * A job may be cancelled while the stored record still names the standby of the previous term.
   * That can last as long as an outage of the state service.
   */
  @Example
  void jobCancelledBeforeStandbyRecordIsClearedIsNotLaunched() {
    leader.lead();
    leader.deferRecordWrites();
    leader.startWithStandbyOfPreviousTerm();
    leader.machines(1);
    Machine machine = leader.workers.machines().get("m-0");
    Job kept = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    Job cancelled = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    leader.report(machine, 0);
    runPass();
    assertEquals(1, answers().size(), "the answer renews the lease");
    assertEquals(
        List.of(),
        answers().get(0).orders(),
        "nothing is launched before the record names no standby");
    assertEquals(List.of(), commands());
    cancel(cancelled);
    leader.completeRecordWrites();
    runPass();
    assertEquals(
        List.of(kept.id()),
        commands().stream().flatMap(c -> launchedJobs(orders(c)).stream()).toList());
  }

  /**
   * A worker that waits for an answer at the end of the term is redirected. It must not lose lease
   * time by waiting for its request timeout.
   */
  @Example
  void answerWaitingForStandbyIsRedirectedAtEndOfTerm() {
    Machine machine = leadOneMachine();
    leader.deferAcknowledgements();
    leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    leader.report(machine, 0);
    runPass();
    leader.effects.clear();
    leader.workers.close();
    leader.standby.endTerm();
    assertEquals(
        List.of(new Answer.Redirect(null)),
        leader.effects.stream()
            .filter(e -> e instanceof Effect.Respond)
            .map(e -> ((Effect.Respond) e).answer())
            .toList());
  }

  /**
   * A launch without a reply takes its whole timeout; the kill of a cancelled job must not wait.
   */
  @Example
  void killIsSentWhileLaunchHasNoReply() {
    Machine machine = leadOneMachine();
    Job cancelled = startTask(machine);
    Job other = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    runPass();
    assertEquals(1, commands().size(), "the launch is in flight");
    cancel(cancelled);
    runPass();
    assertEquals(2, commands().size());
    assertEquals(List.of(cancelled.id()), killedJobs(orders(commands().get(1))));
    // The reply to the kill was written before the delayed launch arrived, so it does not prove
    // that
    // the launch is lost.
    leader.sink.replied(commands().get(1).callId(), reply(machine, true));
    assertEquals(1, other.attemptCount(), "the launch is still in flight");
    assertEquals(0, cancelled.attemptCount());
    leader.sink.replied(commands().get(0).callId(), new Reply.NoResponse("timeout"));
    leader.sink.replied(commands().get(1).callId(), reply(machine, true));
    assertEquals(Machine.Phase.FENCING, machine.phase());
    assertEquals(1, other.attemptCount(), "the launch may still arrive");
  }

  /**
   * A kill must not wait for the hold after a missing reply, nor for the probe that checks whether
   * the machine has seen the raised fence.
   */
  @Example
  void killIsSentWhileMachineIsFencing() {
    Machine machine = leadOneMachine();
    Job cancelled = startTask(machine);
    leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    runPass();
    leader.sink.replied(commands().get(0).callId(), new Reply.NoResponse("timeout"));
    assertEquals(Machine.Phase.FENCING, machine.phase());
    leader.effects.clear();
    cancel(cancelled);
    runPass();
    assertEquals(List.of(cancelled.id()), killedJobs(orders(commands().get(0))));
    assertEquals(
        machine.fencingToken(),
        ((Request.WorkerCommands) commands().get(0).request()).fencingToken(),
        "the kill carries the raised fence");
  }

  /**
   * A kill may overtake its launch. It is sent again when the launch gets its reply after the end
   * of the job.
   */
  @Example
  void killThatMayHaveOvertakenItsLaunchIsRepeated() {
    Machine machine = leadOneMachine();
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    leader.placement.place(leader.now);
    Attempt attempt = job.attempt(0);
    leader.workers.flush(leader.now);
    leader.standby.tick(leader.now);
    cancel(job);
    runPass();
    assertEquals(List.of(job.id()), killedJobs(orders(commands().get(1))));
    leader.sink.replied(commands().get(1).callId(), reply(machine, true));
    Entry running =
        new Entry(attempt.task(), attempt.number(), TaskState.RUNNING, Exit.NONE, false);
    leader.sink.replied(commands().get(0).callId(), reply(machine, true, running));
    runPass();
    assertEquals(3, commands().size());
    assertEquals(List.of(job.id()), killedJobs(orders(commands().get(2))));
  }

  /** A kill to an unreachable machine is sent again, but not at every pass. */
  @Example
  void killWithoutReplyIsRepeatedAfterDelay() {
    Machine machine = leadOneMachine();
    Job job = startTask(machine);
    cancel(job);
    runPass();
    leader.sink.replied(commands().get(0).callId(), new Reply.NoResponse("refused"));
    runPass();
    assertEquals(1, commands().size());
    leader.now += SECOND_MICROS;
    runPass();
    assertEquals(2, commands().size());
    assertTrue(machine.commands().isKillInFlight());
  }

  /**
   * A late heartbeat arrives from a machine that was deleted in an earlier term and is unknown to
   * the new leader. Its tasks may be held back for no longer than a lease, even while the cloud
   * does not answer.
   */
  @Example
  void lateHeartbeatOfDeletedMachineBlocksTaskForOneLeaseOnly() {
    leader.lead();
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    Entry running = new Entry(new TaskId(job.id(), 0), 5, TaskState.RUNNING, Exit.NONE, false);
    FencingToken earlierToken = new FencingToken(7);
    leader.workers.receive(
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
        leader.now);
    assertEquals(
        1, job.attemptCount(), "the attempt counts at first, since nothing proves that it is gone");
    runPass();
    leader.workers.tick(leader.now + leader.settings.workerTimings().leaseMicros(), false);
    assertEquals(1, job.attemptCount());
    leader.workers.tick(
        leader.now + leader.settings.workerTimings().leaseMicros() + 2 * SECOND_MICROS, false);
    assertEquals(0, job.attemptCount(), "the lease has expired");
  }

  /** If the unknown machine still runs, its reply to a probe confirms its tasks. */
  @Example
  void unknownMachineIsConfirmedByProbeReply() {
    leader.lead();
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    Entry running = new Entry(new TaskId(job.id(), 0), 5, TaskState.RUNNING, Exit.NONE, false);
    leader.workers.receive(
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
        leader.now);
    Machine machine = leader.workers.machines().get("m-0");
    assertEquals(Machine.Phase.FENCING, machine.phase());
    assertEquals(leader.now, machine.idleSinceMicros(), "idle since its first heartbeat");
    leader.workers.tick(leader.now, false);
    assertEquals(1, commands().size(), "the machine is probed with this term's token");
    leader.continueSequenceFrom("m-0", 9L);
    leader.sink.replied(commands().get(0).callId(), reply(machine, true, running));
    assertEquals(Machine.Phase.CONFIRMED, machine.phase());
    assertEquals(1, job.attemptCount());
  }

  /**
   * A newly booted machine has seen no fencing token and runs no task, so its first heartbeat
   * causes no probe.
   */
  @Example
  void newlyBootedMachineIsNotProbed() {
    leader.lead();
    leader.workers.receive(
        1,
        new Heartbeat(
            "m-new", "x", "t", "a", true, 1, 1, FencingToken.NONE, Heartbeat.NO_NOTICE, List.of()),
        false,
        leader.now);
    runPass();
    leader.workers.tick(leader.now, false);
    assertEquals(List.of(), commands());
    assertEquals(Machine.Phase.BOOTING, leader.workers.machines().get("m-new").phase());
  }
}
