package org.eiderstair.core.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;

/** Tests machines that are back within a second with a worker whose numbers begin again. */
class RestartedWorkerTest {
  private static final long SECOND_MICROS = 1_000_000;
  private final LeaderFixture leader = new LeaderFixture();
  private final Machine machine = leadOneMachine();
  private final long leaseMicros = leader.settings.workerTimings().leaseMicros();

  private Machine leadOneMachine() {
    leader.lead();
    leader.machines(1);
    Machine only = leader.workers.machines().get("m-0");
    leader.continueSequenceFrom(only.id(), 50);
    return only;
  }

  private void runPass() {
    leader.renew();
    leader.workers.tick(leader.now, false);
    leader.placement.place(leader.now);
    leader.workers.flush(leader.now);
  }

  private Job startTask() {
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    leader.report(machine, 0);
    runPass();
    leader.report(machine, 0);
    runPass();
    assertEquals(1, job.attemptCount());
    leader.effects.clear();
    return job;
  }

  private Heartbeat ofNewWorker(long sequence, FencingToken token, Entry... entries) {
    return heartbeat(1, sequence, token, entries);
  }

  private Heartbeat heartbeat(
      long incarnation, long sequence, FencingToken token, Entry... entries) {
    return new Heartbeat(
        machine.id(),
        "x",
        "t",
        machine.zone(),
        machine.isSpot(),
        incarnation,
        sequence,
        token,
        Heartbeat.NO_NOTICE,
        List.of(entries));
  }

  private Effect.Call lastCommand() {
    return leader.effects.stream()
        .filter(e -> e instanceof Effect.Call c && c.request() instanceof Request.WorkerCommands)
        .map(e -> (Effect.Call) e)
        .reduce((first, second) -> second)
        .orElseThrow();
  }

  private static Entry running(Job job) {
    return new Entry(
        job.attempt(0).task(), job.attempt(0).number(), TaskState.RUNNING, Exit.NONE, false);
  }

  private void advance(long micros) {
    leader.now += micros;
    runPass();
  }

  @Example
  void taskOfRestartedMachineIsNotStartedElsewhereByTheLeaseFromBeforeTheRestart() {
    leader.report(machine, 0);
    runPass();
    advance(leaseMicros - 2 * SECOND_MICROS);
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    runPass();
    Effect.Call launch = lastCommand();
    FencingToken token = ((Request.WorkerCommands) launch.request()).fencingToken();
    long attempt = job.attempt(0).number();
    leader.sink.replied(
        launch.callId(), new Reply.WorkerStatus(ofNewWorker(3, token, running(job)), true));
    advance(10 * SECOND_MICROS);
    assertNotEquals(Machine.Phase.LEASE_EXPIRED, machine.phase());
    assertEquals(attempt, job.attempt(0).number(), "the attempt still counts as on its machine");
  }

  @Example
  void heartbeatThatLooksOldIsAnsweredOnceAProbeShowsANewWorker() {
    Job job = startTask();
    leader.workers.receive(77, ofNewWorker(1, FencingToken.NONE), false, leader.now);
    assertEquals(1, job.attemptCount(), "a heartbeat that looks old proves nothing");
    advance(2 * SECOND_MICROS);
    Effect.Call probe = lastCommand();
    FencingToken token = ((Request.WorkerCommands) probe.request()).fencingToken();
    leader.sink.replied(probe.callId(), new Reply.WorkerStatus(ofNewWorker(2, token), true));
    assertEquals(Machine.Phase.FENCING, machine.phase());
    assertEquals(1, job.attemptCount(), "commands to the earlier worker may still arrive");
    leader.effects.clear();
    leader.workers.receive(78, ofNewWorker(3, token), false, leader.now);
    runPass();
    Answer.Command answer =
        (Answer.Command)
            leader.effects.stream()
                .filter(e -> e instanceof Effect.Respond respond && respond.exchange() == 78)
                .map(e -> ((Effect.Respond) e).answer())
                .findFirst()
                .orElseThrow();
    assertEquals(machine.fencingToken(), answer.fencingToken());
    leader.workers.receive(79, ofNewWorker(4, answer.fencingToken()), false, leader.now);
    assertEquals(Machine.Phase.CONFIRMED, machine.phase());
    assertEquals(0, job.attemptCount(), "what the new worker does not show has ended");
  }

  @Example
  void forgottenTokenInANewerHeartbeatShowsANewWorker() {
    Job job = startTask();
    FencingToken before = machine.fencingToken();
    leader.workers.receive(77, ofNewWorker(60, FencingToken.NONE), false, leader.now);
    assertEquals(Machine.Phase.FENCING, machine.phase());
    assertEquals(1, machine.fencingToken().compareTo(before));
    assertEquals(1, job.attemptCount());
  }

  @Example
  void lateCopyOfAHeartbeatIsNotTakenForANewWorker() {
    Job job = startTask();
    FencingToken token = machine.fencingToken();
    leader.workers.receive(77, ofNewWorker(1, FencingToken.NONE), false, leader.now);
    advance(2 * SECOND_MICROS);
    Effect.Call probe = lastCommand();
    leader.sink.replied(
        probe.callId(),
        new Reply.WorkerStatus(leader.heartbeat(machine, List.of(running(job))), true));
    assertEquals(Machine.Phase.CONFIRMED, machine.phase());
    assertEquals(token, machine.fencingToken());
    assertEquals(1, job.attemptCount());
  }

  @Example
  void lateHeartbeatOfAReplacedWorkerFreesNoTaskOfItsSuccessor() {
    FencingToken token = machine.fencingToken();
    leader.workers.receive(70, heartbeat(3, 20, token), false, leader.now);
    runPass();
    Job job = leader.job("red", JobSpec.Priority.NORMAL, 1, 1);
    runPass();
    Effect.Call launch = lastCommand();
    assertEquals(1, job.attemptCount());
    leader.sink.replied(
        launch.callId(), new Reply.WorkerStatus(ofNewWorker(2, FencingToken.NONE), false));
    leader.workers.receive(71, heartbeat(3, 21, token), false, leader.now);
    assertEquals(1, machine.incarnation());
    assertEquals(1, job.attemptCount());
  }
}
