package org.eiderstair.core.workers;

import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.PendingHeartbeat;

/**
 * Answers heartbeats. An answer renews the worker's lease and carries its kills, acknowledgements
 * and launches.
 */
final class HeartbeatResponder {
  // Part of the protocol with workers: these reasons must not change.
  private static final String NEWER_HEARTBEAT_REASON = "a newer report is here";
  private static final String EARLIER_INCARNATION_REASON = "report of an earlier session";
  private static final int SERVICE_UNAVAILABLE_STATUS = 503;

  private final TermContext context;
  private final EffectSink sink;
  private final WorkerRegistry registry;
  private final LaunchReplication launchReplication;
  private final OrderLog orderLog;
  private final Set<Machine> pending = new LinkedHashSet<>();
  private boolean closed;

  HeartbeatResponder(
      TermContext context,
      WorkerRegistry registry,
      LaunchReplication launchReplication,
      OrderLog orderLog) {
    this.context = context;
    sink = context.sink();
    this.registry = registry;
    this.launchReplication = launchReplication;
    this.orderLog = orderLog;
  }

  /**
   * Queues a heartbeat to be answered in the next pass. Refuses the machine's previous heartbeat if
   * it is still pending.
   */
  void enqueue(Machine machine, long sequence, long exchange) {
    refuse(machine.pendingHeartbeat().replace(sequence, exchange), NEWER_HEARTBEAT_REASON);
    pending.add(machine);
  }

  /**
   * Refuses the pending heartbeat of a machine that started a new incarnation, since the worker no
   * longer waits for its answer.
   */
  void dropEarlierIncarnation(Machine machine) {
    refuse(machine.pendingHeartbeat().beginIncarnation(), EARLIER_INCARNATION_REASON);
    pending.remove(machine);
  }

  /**
   * Refuses a heartbeat with status 503.
   *
   * @param exchange the heartbeat's exchange; nothing is sent for {@link PendingHeartbeat#NONE}
   */
  void refuse(long exchange, String reason) {
    if (exchange != PendingHeartbeat.NONE) {
      sink.respond(exchange, new Answer.Failure(SERVICE_UNAVAILABLE_STATUS, reason, 0));
    }
  }

  /** Returns whether any heartbeat waits for its answer. */
  boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Answers all pending heartbeats. */
  void answerPending(boolean mayLaunch) {
    for (Machine machine : pending) {
      answer(machine, mayLaunch);
    }
    pending.clear();
  }

  /**
   * Ends the term: redirects all pending heartbeats, since this node may no longer renew leases. No
   * lease is renewed after this call.
   */
  void close() {
    closed = true;
    for (Machine machine : pending) {
      sink.respond(machine.pendingHeartbeat().take(), new Answer.Redirect(null));
    }
    pending.clear();
  }

  private void answer(Machine machine, boolean mayLaunch) {
    List<Order> orders = WorkerOrders.kills(machine);
    boolean acknowledges = prepareAcknowledgements(machine);
    if (acknowledges) {
      orders.addAll(machine.acknowledgements());
    }
    List<Attempt> launches =
        mayLaunch && machine.phase() == Machine.Phase.CONFIRMED
            ? launchReplication.takePlannedLaunches(
                machine, machine.pendingHeartbeat().sequence(), acknowledges)
            : List.of();
    registry.renewLease(machine);
    machine.commands().clearKills();
    long exchange = machine.pendingHeartbeat().take();
    FencingToken fencingToken = machine.fencingToken();
    if (launches.isEmpty()) {
      respondWithoutLaunches(machine, exchange, fencingToken, orders);
      return;
    }
    launchReplication.send(
        launches,
        () -> {
          List<Order> all = WorkerOrders.withLaunches(orders, launches);
          long deadlineMicros = context.leadership().bounds().launchEndMicros();
          respond(machine, exchange, new Answer.Command(fencingToken, all), deadlineMicros);
        },
        () -> respondWithoutLaunches(machine, exchange, fencingToken, orders));
  }

  /**
   * Raises the fencing token above that of every launch by command, so that the answer may carry
   * acknowledgements. A worker forgets an acknowledged attempt, and would start it again if a copy
   * of its launch arrived with a valid token. While a command is in flight, the raised token would
   * refuse it, so the next answer carries the acknowledgements.
   *
   * @return whether the answer may carry all acknowledgements
   */
  private boolean prepareAcknowledgements(Machine machine) {
    if (machine.acknowledgements().isEmpty()) {
      return true;
    }
    if (machine.commands().isInFlight()) {
      return false;
    }
    if (machine.fence().coverLaunchCommands()) {
      orderLog.fenceRaisedToAcknowledge(machine);
    }
    return true;
  }

  private void respondWithoutLaunches(
      Machine machine, long exchange, FencingToken fencingToken, List<Order> orders) {
    if (closed) {
      sink.respond(exchange, new Answer.Redirect(null));
      return;
    }
    long deadlineMicros = context.leadership().bounds().answerEndMicros();
    respond(machine, exchange, new Answer.Command(fencingToken, orders), deadlineMicros);
  }

  private void respond(Machine machine, long exchange, Answer.Command answer, long deadlineMicros) {
    orderLog.sent(machine, answer.fencingToken(), answer.orders(), OrderLog.Carrier.ANSWER);
    sink.respond(exchange, answer, deadlineMicros);
  }
}
