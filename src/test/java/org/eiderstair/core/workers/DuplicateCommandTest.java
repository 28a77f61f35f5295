package org.eiderstair.core.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.BitSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;

/**
 * Tests copies of commands that were executed and answered. A copy may arrive at the worker at any
 * later time, and must not start a task that the leader knows to have ended.
 */
class DuplicateCommandTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final String FIRST = "m-0";
  private static final String SECOND = "m-1";

  private final LeaderFixture leader = new LeaderFixture();
  private final Map<String, ProtocolWorker> workers = new TreeMap<>();
  private final List<Effect.Call> executed = new ArrayList<>();

  public DuplicateCommandTest() {
    leader.startStandby();
    leader.lead();
    leader.machines(2);
    for (Machine machine : leader.workers.machines().values()) {
      ProtocolWorker worker = new ProtocolWorker(machine.id());
      worker.fencingToken = machine.fencingToken();
      workers.put(machine.id(), worker);
    }
  }

  private Machine machine(String id) {
    return leader.workers.machines().get(id);
  }

  private void runPass() {
    leader.now += SECOND_MICROS / 10;
    leader.renew();
    leader.placement.place(leader.now);
    leader.workers.flush(leader.now);
    leader.standby.tick(leader.now);
  }

  /** Returns the commands that were sent since the last call. */
  private List<Effect.Call> takeCommands() {
    List<Effect.Call> commands =
        leader.effects.stream()
            .filter(
                effect ->
                    effect instanceof Effect.Call call
                        && call.request() instanceof Request.WorkerCommands)
            .map(effect -> (Effect.Call) effect)
            .toList();
    leader.effects.removeAll(commands);
    return commands;
  }

  private static Request.WorkerCommands request(Effect.Call command) {
    return (Request.WorkerCommands) command.request();
  }

  /** Delivers a command to its worker and the worker's reply to the leader. */
  private void deliver(Effect.Call command) {
    executed.add(command);
    leader.sink.replied(
        command.callId(), workers.get(request(command).address()).receive(request(command)));
  }

  /** Delivers a worker's heartbeat, runs a pass and delivers the answer; returns its orders. */
  private List<Order> exchangeHeartbeat(String machine, boolean relayed) {
    ProtocolWorker worker = workers.get(machine);
    long exchange = leader.nextExchange();
    leader.workers.receive(exchange, worker.nextHeartbeat(), relayed, leader.now);
    runPass();
    Answer.Command answer =
        leader.effects.stream()
            .filter(
                effect ->
                    effect instanceof Effect.Respond respond && respond.exchange() == exchange)
            .map(effect -> (Answer.Command) ((Effect.Respond) effect).answer())
            .findFirst()
            .orElseThrow();
    assertTrue(worker.receiveAnswer(answer, worker.incarnation), "the answer renews the lease");
    return answer.orders();
  }

  /** Launches the task of a new job by a command to the first machine, which is answered. */
  private Job launchByCommand() {
    machine(SECOND).holdUntil(leader.now + 5 * SECOND_MICROS);
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    runPass();
    takeCommands().forEach(this::deliver);
    assertEquals(1, executed.size());
    return job;
  }

  private void cancel(Job job) {
    leader.replica.applyCancellation(new Cancellation(job.id(), leader.lastVersion + 1_000, 0));
    leader.workers.jobEnded(job);
  }

  private static TaskId task(Job job) {
    return new TaskId(job.id(), 0);
  }

  /** Makes the leader place the next attempt on the second machine. */
  private void moveToSecondMachine() {
    leader.now += 10 * SECOND_MICROS;
    machine(FIRST).holdUntil(leader.now + 60 * SECOND_MICROS);
    machine(SECOND).holdUntil(0);
  }

  private static void markDurablyCompleted(Job job) {
    BitSet completed = new BitSet();
    completed.set(0);
    job.setDurableProgress(completed, 2);
  }

  /** Asserts that the worker has forgotten the job's first attempt, and that a copy is refused. */
  private void assertCopyOfLaunchIsRefused(Job job) {
    Effect.Call launch = executed.get(0);
    long attempt = request(launch).orders().get(0).attempt();
    ProtocolWorker worker = workers.get(FIRST);
    assertFalse(worker.reports(task(job), attempt), "the ended attempt is acknowledged");
    worker.receive(request(launch));
    assertFalse(worker.reports(task(job), attempt), "the copy starts the attempt again");
  }

  @Example
  void copyOfAnsweredLaunchDoesNotStartFailedTaskBesideItsNextAttempt() {
    Job job = launchByCommand();
    workers.get(FIRST).end(task(job), Exit.ERROR);
    moveToSecondMachine();
    exchangeHeartbeat(FIRST, false);
    exchangeHeartbeat(SECOND, false);
    takeCommands().forEach(this::deliver);
    assertTrue(workers.get(SECOND).isActive(task(job)), "the next attempt runs");
    assertCopyOfLaunchIsRefused(job);
  }

  @Example
  void copyOfAnsweredLaunchDoesNotStartMovedTask() {
    Job job = launchByCommand();
    job.attempt(0).requestStop();
    leader.workers.scheduleKills(machine(FIRST));
    runPass();
    takeCommands().forEach(this::deliver);
    moveToSecondMachine();
    exchangeHeartbeat(FIRST, false);
    exchangeHeartbeat(SECOND, false);
    takeCommands().forEach(this::deliver);
    assertTrue(workers.get(SECOND).isActive(task(job)), "the task runs where it was moved to");
    assertCopyOfLaunchIsRefused(job);
  }

  @Example
  void copyOfAnsweredLaunchDoesNotStartCancelledTask() {
    Job job = launchByCommand();
    cancel(job);
    runPass();
    takeCommands().forEach(this::deliver);
    exchangeHeartbeat(FIRST, false);
    assertCopyOfLaunchIsRefused(job);
  }

  @Example
  void copyOfAnsweredLaunchDoesNotStartCompletedTask() {
    Job job = launchByCommand();
    workers.get(FIRST).end(task(job), Exit.DONE);
    exchangeHeartbeat(FIRST, false);
    markDurablyCompleted(job);
    exchangeHeartbeat(FIRST, false);
    assertCopyOfLaunchIsRefused(job);
  }

  @Example
  void copyOfAnsweredLaunchDoesNotStartTaskThatWasRefused() {
    workers.get(FIRST).hasNoRoom = true;
    Job job = launchByCommand();
    exchangeHeartbeat(FIRST, false);
    workers.get(FIRST).hasNoRoom = false;
    assertCopyOfLaunchIsRefused(job);
  }

  @Example
  void copyOfAnsweredLaunchDoesNotStartTaskAcknowledgedThroughPeer() {
    Job job = launchByCommand();
    workers.get(FIRST).end(task(job), Exit.ERROR);
    moveToSecondMachine();
    exchangeHeartbeat(FIRST, true);
    assertCopyOfLaunchIsRefused(job);
  }

  @Example
  void copyOfAnsweredLaunchDoesNotStartCompletedTaskAfterLaterCommands() {
    Job job = launchByCommand();
    workers.get(FIRST).end(task(job), Exit.DONE);
    markDurablyCompleted(job);
    for (int i = 0; i < 2; i++) {
      leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
      runPass();
      takeCommands().forEach(this::deliver);
    }
    exchangeHeartbeat(FIRST, false);
    assertCopyOfLaunchIsRefused(job);
  }

  @Example
  void launchInFlightIsExecutedAlthoughAnEndedTaskIsReported() {
    Job failed = launchByCommand();
    workers.get(FIRST).end(task(failed), Exit.ERROR);
    Job next = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    runPass();
    List<Effect.Call> inFlight = takeCommands();
    assertEquals(1, inFlight.size());
    exchangeHeartbeat(FIRST, false);
    inFlight.forEach(this::deliver);
    assertTrue(workers.get(FIRST).isActive(task(next)), "the launch is not refused");
    exchangeHeartbeat(FIRST, false);
    assertCopyOfLaunchIsRefused(failed);
  }

  @Example
  void killRefusedBecauseOfRaisedTokenIsSentAgain() {
    Job ended = launchByCommand();
    Job cancelled = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    runPass();
    takeCommands().forEach(this::deliver);
    cancel(cancelled);
    runPass();
    List<Effect.Call> late = takeCommands();
    workers.get(FIRST).end(task(ended), Exit.ERROR);
    workers.get(FIRST).dropsKills = true;
    exchangeHeartbeat(FIRST, false);
    workers.get(FIRST).dropsKills = false;
    late.forEach(this::deliver);
    assertTrue(workers.get(FIRST).isActive(task(cancelled)), "the late kill is refused");
    leader.now += SECOND_MICROS;
    runPass();
    takeCommands().forEach(this::deliver);
    assertFalse(workers.get(FIRST).isActive(task(cancelled)));
  }

  @Example
  void heartbeatWithTokenFromBeforeAnAcknowledgementStillSettlesLaunches() {
    Job ended = launchByCommand();
    ProtocolWorker worker = workers.get(FIRST);
    worker.end(task(ended), Exit.ERROR);
    moveToSecondMachine();
    machine(SECOND).holdUntil(leader.now + 60 * SECOND_MICROS);
    leader.workers.receive(leader.nextExchange(), worker.nextHeartbeat(), false, leader.now);
    runPass();
    assertTrue(machine(FIRST).fencingToken().compareTo(worker.fencingToken) > 0, "raised");
    machine(FIRST).holdUntil(0);
    Job next = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    leader.workers.receive(leader.nextExchange(), worker.nextHeartbeat(), false, leader.now);
    runPass();
    assertEquals(1, next.attemptCount(), "launched in an answer, which is lost");
    machine(FIRST).holdUntil(leader.now + 60 * SECOND_MICROS);
    leader.workers.receive(leader.nextExchange(), worker.nextHeartbeat(), false, leader.now);
    assertEquals(Machine.Phase.CONFIRMED, machine(FIRST).phase());
    assertEquals(0, next.attemptCount(), "the heartbeat shows that the launch was lost");
  }

  @Example
  void nextAttemptOnTheSameMachineWaitsForTheAcknowledgementOfTheLast() {
    machine(SECOND).holdUntil(leader.now + 60 * SECOND_MICROS);
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    runPass();
    Effect.Call launch = takeCommands().get(0);
    ProtocolWorker worker = workers.get(FIRST);
    Reply.WorkerStatus lateReply = worker.receive(request(launch));
    executed.add(launch);
    worker.end(task(job), Exit.ERROR);
    exchangeHeartbeat(FIRST, false);
    assertFalse(worker.isActive(task(job)), "the acknowledgement cannot be sent yet");
    leader.sink.replied(launch.callId(), lateReply);
    leader.now += 5 * SECOND_MICROS;
    exchangeHeartbeat(FIRST, false);
    runPass();
    takeCommands().forEach(this::deliver);
    assertTrue(worker.isActive(task(job)), "the next attempt runs");
    assertCopyOfLaunchIsRefused(job);
  }
}
