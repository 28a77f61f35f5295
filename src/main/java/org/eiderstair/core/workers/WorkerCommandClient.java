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
 * Sends commands to workers and processes their replies, which are heartbeats. A command that got
 * no reply may still arrive minutes later.
 */
final class WorkerCommandClient {
  /** Handles the heartbeats in workers' replies to commands. */
  interface ReplyHandler {
    /**
     * Handles the reply to one command.
     *
     * @param noCommandInFlight whether no launch by command can still be in flight, so that the
     *     heartbeat shows the outcome of every command
     * @param newestWhenAsked the newest heartbeat that was known when the command was sent
     */
    void handle(
        Machine machine,
        Heartbeat heartbeat,
        boolean noCommandInFlight,
        HeartbeatNumber newestWhenAsked);
  }

  /** How long a machine that did not reply to a launch gets no further launch. */
  private static final long NO_REPLY_HOLD_MICROS = 6_000_000;

  private static final long KILL_RETRY_DELAY_MICROS = 300_000;
  private static final long PROBE_AFTER_LAUNCH_DELAY_MICROS = 500_000;
  private static final long PROBE_RETRY_DELAY_MICROS = 300_000;

  private final TermContext context;
  private final EffectSink sink;
  private final WorkerRegistry registry;
  private final AvailableMachines availableMachines;
  private final CommandQueue commandQueue;
  private final OrderLog orderLog;
  private ReplyHandler replyHandler = (machine, heartbeat, noCommandInFlight, asked) -> {};
  private boolean closed;

  WorkerCommandClient(
      TermContext context,
      WorkerRegistry registry,
      AvailableMachines availableMachines,
      CommandQueue commandQueue,
      OrderLog orderLog) {
    this.context = context;
    sink = context.sink();
    this.registry = registry;
    this.availableMachines = availableMachines;
    this.commandQueue = commandQueue;
    this.orderLog = orderLog;
  }

  /** Sets the handler of the heartbeats in replies. */
  void setReplyHandler(ReplyHandler handler) {
    replyHandler = handler;
  }

  /** Ends the term: later replies are ignored. */
  void close() {
    closed = true;
  }

  /**
   * Sends a probe: a command that shows the fencing token and carries no orders.
   *
   * @param onEnd runs when the probe gets a reply or is given up
   */
  void probe(Machine machine, Runnable onEnd) {
    machine.commands().beginCommand();
    // If the incarnation is unknown, the first one is assumed; a worker in a later incarnation
    // reports its own in the refusal.
    long incarnation = Math.max(1, machine.incarnation());
    call(
        machine,
        new Request.WorkerCommands(
            machine.address(), machine.fencingToken(), incarnation, List.of()),
        List.of(),
        onEnd);
  }

  /**
   * Sends a command with launches. The caller must have called {@code begin()} on the machine's
   * commands.
   */
  void launch(Machine machine, Request.WorkerCommands request, List<Attempt> launches) {
    orderLog.sent(machine, request.fencingToken(), request.orders(), OrderLog.Carrier.COMMAND);
    call(machine, request, launches, () -> {});
  }

  /** Sends a command with kills only. It may be repeated and may arrive in any order. */
  void kill(Machine machine, List<Order> kills) {
    machine.commands().beginKill();
    HeartbeatNumber newestWhenAsked = HeartbeatNumber.newestOf(machine);
    orderLog.sent(machine, machine.fencingToken(), kills, OrderLog.Carrier.COMMAND);
    sink.call(
        new Request.WorkerCommands(
            machine.address(), machine.fencingToken(), machine.incarnation(), kills),
        context.leadership().bounds().answerEndMicros(),
        reply -> handleKillReply(machine, newestWhenAsked, reply));
  }

  private void handleKillReply(Machine machine, HeartbeatNumber newestWhenAsked, Reply reply) {
    machine.commands().endKill();
    if (ignoresReplies(machine)) {
      return;
    }
    // The worker may have written the reply before a command that is still in flight arrives.
    boolean replied =
        processReply(machine, reply, !machine.commands().isInFlight(), newestWhenAsked);
    if (!replied || !isExecuted(reply)) {
      machine.commands().delayKillsUntil(context.nowMicros() + KILL_RETRY_DELAY_MICROS);
      commandQueue.scheduleKills(machine);
    }
  }

  private static boolean isExecuted(Reply reply) {
    return reply instanceof Reply.WorkerStatus status && status.executed();
  }

  private void call(Machine machine, Request request, List<Attempt> launches, Runnable onEnd) {
    LeadershipBounds bounds = context.leadership().bounds();
    HeartbeatNumber newestWhenAsked = HeartbeatNumber.newestOf(machine);
    sink.call(
        request,
        launches.isEmpty() ? bounds.answerEndMicros() : bounds.launchEndMicros(),
        reply -> {
          machine.commands().endCommand();
          onEnd.run();
          handleReply(machine, launches, newestWhenAsked, reply);
        });
  }

  private void handleReply(
      Machine machine, List<Attempt> launches, HeartbeatNumber newestWhenAsked, Reply reply) {
    if (ignoresReplies(machine)) {
      return;
    }
    if (launches.stream().anyMatch(attempt -> !attempt.job().isOpen())) {
      // A kill that was sent in the meantime may have arrived before the launch.
      commandQueue.scheduleKills(machine);
    }
    if (!launches.isEmpty()) {
      // The launch may have been executed until now, by a worker that had begun its lease just
      // then.
      registry.renewLease(machine);
    }
    if (!processReply(machine, reply, true, newestWhenAsked)) {
      handleNoReply(machine, !launches.isEmpty(), reply);
    }
  }

  private boolean ignoresReplies(Machine machine) {
    return closed || machine.phase() == Machine.Phase.TERMINATED;
  }

  /**
   * Processes the heartbeat in a reply to a command.
   *
   * @return false if the reply contains no heartbeat of this machine
   */
  private boolean processReply(
      Machine machine, Reply reply, boolean noCommandInFlight, HeartbeatNumber newestWhenAsked) {
    if (!(reply instanceof Reply.WorkerStatus answer)
        || !answer.heartbeat().machine().equals(machine.id())) {
      return false;
    }
    Heartbeat heartbeat = answer.heartbeat();
    if (heartbeat.fencingToken().term() > context.term()) {
      context
          .leadership()
          .stepDown(
              "machine="
                  + machine.id()
                  + " reported a later term: fencing_token="
                  + heartbeat.fencingToken());
      return true;
    }
    replyHandler.handle(machine, heartbeat, noCommandInFlight, newestWhenAsked);
    if (!answer.executed()) {
      orderLog.commandRefused();
      machine.commands().scheduleProbe(context.nowMicros());
    }
    return true;
  }

  /**
   * Handles a command that got no reply. The command may still arrive minutes later, so the leader
   * raises the fence after a launch and concludes nothing until the machine reports the new token.
   */
  private void handleNoReply(Machine machine, boolean launched, Reply reply) {
    if (launched) {
      raiseFence(machine, reply);
    }
    long delayMicros = launched ? PROBE_AFTER_LAUNCH_DELAY_MICROS : PROBE_RETRY_DELAY_MICROS;
    long dueMicros = context.nowMicros() + delayMicros;
    machine.commands().scheduleProbe(Math.max(machine.commands().nextProbeMicros(), dueMicros));
  }

  private void raiseFence(Machine machine, Reply reply) {
    boolean confirmed = machine.phase() == Machine.Phase.CONFIRMED;
    if (confirmed || machine.phase() == Machine.Phase.RECOVERED) {
      machine.fence().raise();
      orderLog.fenceRaisedWithoutReply();
      availableMachines.remove(machine);
      // This node may be unable to reach the machine while peers still relay its heartbeats.
      machine.holdUntil(context.nowMicros() + NO_REPLY_HOLD_MICROS);
    }
    if (confirmed) {
      context.info(
          "machine=" + machine.id() + " did not reply to a command; raising its fence: " + reply);
      registry.changePhase(machine, Machine.Phase.FENCING);
    }
  }
}
