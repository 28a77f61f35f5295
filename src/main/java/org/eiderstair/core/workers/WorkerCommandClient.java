package org.eiderstair.core.workers;

import java.util.List;
import org.eiderstair.core.leadership.LeadershipBounds;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;

/**
 * Sends commands to workers and reads their replies, which are heartbeats. A command without a
 * reply may still arrive, minutes later.
 */
final class WorkerCommandClient {
  /** Takes the heartbeat in a worker's reply to a command. */
  interface ReplyHandler {
    /**
     * Handles the reply to one command.
     *
     * @param noCommandInFlight whether no launch by command can still be on its way, so that the
     *     heartbeat shows what became of every command
     */
    void handle(Machine machine, Heartbeat heartbeat, boolean noCommandInFlight);
  }

  /** A machine that did not answer a launch gets none for so long. */
  private static final long UNREACHED_HOLD_MICROS = 6_000_000;

  private static final long KILL_RETRY_MICROS = 300_000;
  private static final long PROBE_AFTER_LAUNCH_MICROS = 500_000;
  private static final long PROBE_AFTER_SILENCE_MICROS = 300_000;

  private final TermContext context;
  private final EffectSink sink;
  private final WorkerRegistry registry;
  private final AvailableMachines availableMachines;
  private final CommandQueue commandQueue;
  private ReplyHandler replyHandler = (machine, heartbeat, noCommandInFlight) -> {};
  private boolean closed;

  WorkerCommandClient(
      TermContext context,
      WorkerRegistry registry,
      AvailableMachines availableMachines,
      CommandQueue commandQueue) {
    this.context = context;
    sink = context.sink();
    this.registry = registry;
    this.availableMachines = availableMachines;
    this.commandQueue = commandQueue;
  }

  /** Sets who takes the heartbeats in replies. */
  void onReply(ReplyHandler handler) {
    replyHandler = handler;
  }

  /** The term is over: replies count for nothing. */
  void close() {
    closed = true;
  }

  /**
   * Shows the fencing token with no orders.
   *
   * @param ended runs when the probe is answered, or is given up
   */
  void probe(Machine machine, Runnable ended) {
    machine.commands().begin();
    // Most machines are in their first incarnation; one that is not says so in its refusal.
    long incarnation = Math.max(1, machine.incarnation());
    call(
        machine,
        new Request.WorkerCommands(
            machine.address(), machine.fencingToken(), incarnation, List.of()),
        List.of(),
        ended);
  }

  /** Sends a command that launches; {@code begin} of the machine's commands came before. */
  void launch(Machine machine, Request.WorkerCommands request, List<Attempt> launches) {
    call(machine, request, launches, () -> {});
  }

  /** Sends a command that only kills. It may be repeated, and may come before or after anything. */
  void kill(Machine machine, List<Order> kills) {
    machine.commands().beginKill();
    sink.call(
        new Request.WorkerCommands(
            machine.address(), machine.fencingToken(), machine.incarnation(), kills),
        context.leadership().bounds().answerEndMicros(),
        reply -> killReplied(machine, reply));
  }

  private void killReplied(Machine machine, Reply reply) {
    machine.commands().endKill();
    if (isOver(machine)) {
      return;
    }
    // The reply may have been written before a command that is still on its way arrives.
    if (!takeReply(machine, reply, !machine.commands().isInFlight())) {
      machine.commands().delayKillsUntil(context.nowMicros() + KILL_RETRY_MICROS);
      commandQueue.scheduleKills(machine);
    }
  }

  private void call(Machine machine, Request request, List<Attempt> launches, Runnable ended) {
    LeadershipBounds bounds = context.leadership().bounds();
    sink.call(
        request,
        launches.isEmpty() ? bounds.answerEndMicros() : bounds.launchEndMicros(),
        reply -> {
          machine.commands().end();
          ended.run();
          replied(machine, launches, reply);
        });
  }

  private void replied(Machine machine, List<Attempt> launches, Reply reply) {
    if (isOver(machine)) {
      return;
    }
    if (launches.stream().anyMatch(attempt -> !attempt.job().open())) {
      // A kill that was sent meanwhile may have come before the launch.
      commandQueue.scheduleKills(machine);
    }
    if (!takeReply(machine, reply, true)) {
      unanswered(machine, !launches.isEmpty(), reply);
    }
  }

  private boolean isOver(Machine machine) {
    return closed || machine.phase() == Machine.Phase.TERMINATED;
  }

  /** Takes the heartbeat that is the reply to a command; false when there is none. */
  private boolean takeReply(Machine machine, Reply reply, boolean noCommandInFlight) {
    if (!(reply instanceof Reply.WorkerStatus answer)
        || !answer.heartbeat().machine().equals(machine.id())) {
      return false;
    }
    Heartbeat heartbeat = answer.heartbeat();
    if (heartbeat.fencingToken().term() > context.term()) {
      context
          .leadership()
          .stepDown(
              "machine=" + machine.id() + " has seen fencing token " + heartbeat.fencingToken());
      return true;
    }
    replyHandler.handle(machine, heartbeat, noCommandInFlight);
    if (!answer.executed()) {
      machine.commands().scheduleProbe(context.nowMicros());
    }
    return true;
  }

  /**
   * The command may still arrive, minutes later: it is fenced off by a higher token before anything
   * is concluded.
   */
  private void unanswered(Machine machine, boolean launched, Reply reply) {
    if (launched) {
      fenceOff(machine, reply);
    }
    long delayMicros = launched ? PROBE_AFTER_LAUNCH_MICROS : PROBE_AFTER_SILENCE_MICROS;
    long dueMicros = context.nowMicros() + delayMicros;
    machine.commands().scheduleProbe(Math.max(machine.commands().nextProbeMicros(), dueMicros));
  }

  private void fenceOff(Machine machine, Reply reply) {
    boolean confirmed = machine.phase() == Machine.Phase.CONFIRMED;
    if (confirmed || machine.phase() == Machine.Phase.RECOVERED) {
      machine.raiseFence();
      availableMachines.remove(machine);
      // It may be out of this node's reach while its heartbeats still come, relayed.
      machine.holdUntil(context.nowMicros() + UNREACHED_HOLD_MICROS);
    }
    if (confirmed) {
      context.info(
          "no answer to a command from machine=" + machine.id() + ": raising its fence: " + reply);
      registry.changePhase(machine, Machine.Phase.FENCING);
    }
  }
}
