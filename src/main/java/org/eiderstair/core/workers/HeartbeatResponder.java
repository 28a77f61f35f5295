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
 * Answers heartbeats. An answer renews the worker's lease and carries what it must kill, forget and
 * launch.
 */
final class HeartbeatResponder {
  // Reasons are sent to workers: they stay as they are.
  private static final String NEWER_HEARTBEAT = "a newer report is here";
  private static final String EARLIER_INCARNATION = "report of an earlier session";
  private static final int UNAVAILABLE = 503;

  private final TermContext context;
  private final EffectSink sink;
  private final WorkerRegistry registry;
  private final LaunchReplication launchReplication;
  private final Set<Machine> pending = new LinkedHashSet<>();
  private boolean closed;

  HeartbeatResponder(
      TermContext context, WorkerRegistry registry, LaunchReplication launchReplication) {
    this.context = context;
    sink = context.sink();
    this.registry = registry;
    this.launchReplication = launchReplication;
  }

  /** A heartbeat is to be answered in the next pass; the one that waited before is given up. */
  void enqueue(Machine machine, long sequence, long exchange) {
    refuse(machine.pendingHeartbeat().replace(sequence, exchange), NEWER_HEARTBEAT);
    pending.add(machine);
  }

  /**
   * A machine has begun a new incarnation: nobody reads an answer to a heartbeat of the one before.
   */
  void dropEarlierIncarnation(Machine machine) {
    refuse(machine.pendingHeartbeat().beginIncarnation(), EARLIER_INCARNATION);
    pending.remove(machine);
  }

  /** Refuses a heartbeat, unless there is none (exchange 0). */
  void refuse(long exchange, String reason) {
    if (exchange != PendingHeartbeat.NONE) {
      sink.respond(exchange, new Answer.Failure(UNAVAILABLE, reason, 0));
    }
  }

  /** Whether heartbeats wait for their answers. */
  boolean hasPending() {
    return !pending.isEmpty();
  }

  /** Answers all heartbeats that wait. */
  void answerPending(boolean mayLaunch) {
    for (Machine machine : pending) {
      answer(machine, mayLaunch);
    }
    pending.clear();
  }

  /**
   * Redirects heartbeats that still wait, since this node may not renew leases any more; from now
   * on no lease is renewed.
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
    orders.addAll(machine.acknowledgements());
    List<Attempt> launches =
        mayLaunch && machine.phase() == Machine.Phase.CONFIRMED
            ? launchReplication.take(machine, machine.pendingHeartbeat().sequence())
            : List.of();
    registry.renewLease(machine);
    machine.commands().clearKills();
    long exchange = machine.pendingHeartbeat().take();
    FencingToken fencingToken = machine.fencingToken();
    if (launches.isEmpty()) {
      respondWithoutLaunches(exchange, fencingToken, orders);
      return;
    }
    launchReplication.send(
        launches,
        () ->
            sink.respond(
                exchange,
                new Answer.Command(fencingToken, WorkerOrders.withLaunches(orders, launches)),
                context.leadership().bounds().launchEndMicros()),
        () -> respondWithoutLaunches(exchange, fencingToken, orders));
  }

  private void respondWithoutLaunches(
      long exchange, FencingToken fencingToken, List<Order> orders) {
    if (closed) {
      sink.respond(exchange, new Answer.Redirect(null));
      return;
    }
    sink.respond(
        exchange,
        new Answer.Command(fencingToken, orders),
        context.leadership().bounds().answerEndMicros());
  }
}
