package org.eiderstair.core.workers;

import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.PendingHeartbeat;
import org.eiderstair.core.state.StateWriter;

/**
 * Processes heartbeats. Drops outdated ones, tracks worker incarnations, confirms machines by
 * fencing token and passes the reported tasks to the {@link TaskReconciler}. Heartbeats in replies
 * to commands are processed in the same way.
 */
final class HeartbeatHandler {
  // Part of the protocol with workers: must not change.
  private static final String MACHINE_DELETED_REASON = "machine was deleted";
  private static final int SERVICE_UNAVAILABLE_STATUS = 503;

  private final TermContext context;
  private final EffectSink sink;
  private final StateWriter stateWriter;
  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
  private final AvailableMachines availableMachines;
  private final HeartbeatResponder responder;
  private final WorkerProber prober;
  private final WorkerReachability reachability;
  private final TaskReconciler reconciler;
  private final MachineDrain drain;

  HeartbeatHandler(
      TermContext context,
      StateWriter stateWriter,
      WorkerRegistry registry,
      AttemptTracker tracker,
      AvailableMachines availableMachines,
      HeartbeatResponder responder,
      WorkerProber prober,
      WorkerReachability reachability,
      TaskReconciler reconciler,
      MachineDrain drain) {
    this.context = context;
    sink = context.sink();
    this.stateWriter = stateWriter;
    this.registry = registry;
    this.tracker = tracker;
    this.availableMachines = availableMachines;
    this.responder = responder;
    this.prober = prober;
    this.reachability = reachability;
    this.reconciler = reconciler;
    this.drain = drain;
  }

  /**
   * Processes a heartbeat and queues it for an answer in the next pass. The answer renews the lease
   * and carries the machine's kills, acknowledgements and launches. A machine whose task ended thus
   * gets its next task without another message.
   *
   * @param exchange the exchange that the heartbeat is answered on
   * @param relayed whether a peer relayed the heartbeat
   */
  void receive(long exchange, Heartbeat heartbeat, boolean relayed) {
    if (heartbeat.fencingToken().term() > context.term()) {
      sink.respond(exchange, new Answer.Redirect(null));
      context
          .leadership()
          .stepDown(
              "machine="
                  + heartbeat.machine()
                  + " reported a later term: fencing_token="
                  + heartbeat.fencingToken());
      return;
    }
    if (registry.isTerminated(heartbeat.machine())) {
      sink.respond(
          exchange, new Answer.Failure(SERVICE_UNAVAILABLE_STATUS, MACHINE_DELETED_REASON, 0));
      return;
    }
    Machine machine = findOrAdd(heartbeat);
    PendingHeartbeat.Freshness freshness =
        machine
            .pendingHeartbeat()
            .freshness(heartbeat.incarnation(), heartbeat.sequence(), machine.incarnation());
    boolean ambiguous = machine.mayBeOfReplacedWorker(heartbeat.incarnation());
    if (freshness == PendingHeartbeat.Freshness.CURRENT && ambiguous) {
      freshness = PendingHeartbeat.Freshness.EARLIER_INCARNATION;
    }
    if (freshness != PendingHeartbeat.Freshness.CURRENT) {
      // A duplicate or delayed heartbeat that the worker no longer waits for, or one of another
      // worker on the same machine. It proves nothing, renews no lease and launches no task. The
      // reply to a probe tells which of the two it is; a new worker knows no token at first.
      responder.refuse(exchange, freshness.refusalReason());
      if (ambiguous || machine.fence().isForgottenBy(heartbeat.fencingToken())) {
        prober.ask(machine);
      }
      return;
    }
    if (!relayed) {
      reachability.recordDirectHeartbeat();
    }
    register(machine, heartbeat);
    machine.setRelayed(relayed);
    process(machine, heartbeat, true, !machine.commands().isInFlight());
    if (machine.phase() == Machine.Phase.UNCONFIRMED) {
      // The answer carries the current fencing token, and the next heartbeat follows immediately.
      prober.postpone(machine);
    }
    responder.enqueue(machine, heartbeat.sequence(), exchange);
  }

  /**
   * Processes the heartbeat in a machine's reply to a command.
   *
   * @param noCommandInFlight whether no launch by command can still arrive at the machine
   * @param newestWhenAsked the newest heartbeat that was known when the command was sent. The
   *     worker wrote the reply later, so lower numbers in it are those of another worker.
   */
  void receiveReply(
      Machine machine,
      Heartbeat heartbeat,
      boolean noCommandInFlight,
      HeartbeatNumber newestWhenAsked) {
    if (newestWhenAsked.isFollowedBy(heartbeat)) {
      process(machine, heartbeat, false, noCommandInFlight);
    } else {
      beginWithNewWorker(machine, heartbeat);
    }
  }

  private Machine findOrAdd(Heartbeat heartbeat) {
    Machine known = registry.machines().get(heartbeat.machine());
    if (known != null) {
      return known;
    }
    context.info("first heartbeat received machine=" + heartbeat.machine());
    return registry.addBooting(
        heartbeat.machine(),
        heartbeat.address(),
        heartbeat.type(),
        heartbeat.zone(),
        heartbeat.spot());
  }

  private void register(Machine machine, Heartbeat heartbeat) {
    if (machine.address() == null || machine.typeName() == null || !machine.isRegistered()) {
      registry.describe(
          machine, heartbeat.address(), heartbeat.type(), heartbeat.zone(), heartbeat.spot());
    }
    if (!machine.isRegistered() && machine.plan() != Machine.Plan.TERMINATE) {
      stateWriter.register(machine);
    }
  }

  /**
   * Processes a heartbeat, unless a newer heartbeat of the machine was already processed.
   *
   * @param answered whether the heartbeat itself gets an answer, unlike one in a reply to a
   *     command. Only such a heartbeat settles launches that an earlier answer carried. A reply to
   *     a command may be written while that answer is still in flight.
   * @param noCommandInFlight false while a command is in flight, because the worker may have
   *     written the heartbeat before that command arrived
   */
  private void process(
      Machine machine, Heartbeat heartbeat, boolean answered, boolean noCommandInFlight) {
    if (!heartbeat.isNewerThan(machine.incarnation(), machine.sequence())) {
      return;
    }
    if (machine.fence().isForgottenBy(heartbeat.fencingToken())) {
      beginWithNewWorker(machine, heartbeat);
      return;
    }
    machine.recordContact(context.nowMicros());
    updateIncarnation(machine, heartbeat);
    machine.fence().recordReported(heartbeat.fencingToken());
    if (heartbeat.noticeMicros() != Heartbeat.NO_NOTICE && machine.plan() == Machine.Plan.ACTIVE) {
      context.info("machine=" + machine.id() + " received a preemption notice");
      drain.drainForPreemption(machine, heartbeat.noticeMicros());
    }
    boolean showsCurrentToken = machine.fence().isConfirmedBy(heartbeat.fencingToken());
    if (showsCurrentToken) {
      confirm(machine);
    } else if (mayHoldEarlierWork(machine)) {
      // Earlier commands may still arrive at the machine, so its task list proves nothing yet.
      return;
    }
    reconciler.reconcile(
        machine, heartbeat, answered && showsCurrentToken, noCommandInFlight && showsCurrentToken);
    if (!showsCurrentToken
        && machine.phase() == Machine.Phase.BOOTING
        && heartbeat.fencingToken().compareTo(FencingToken.NONE) > 0) {
      expectLeaseExpiry(machine);
    }
    tracker.requestPlacement();
  }

  /**
   * Handles a heartbeat of a worker that has taken the place of the known one and whose numbers
   * began again: the machine was restarted, or an earlier worker's heartbeat was delayed. What ran
   * before has ended, but commands to the earlier worker may still be executed. So nothing is
   * concluded until the machine shows a raised token.
   */
  private void beginWithNewWorker(Machine machine, Heartbeat heartbeat) {
    context.info(
        "machine="
            + machine.id()
            + " has a new worker: incarnation="
            + heartbeat.incarnation()
            + " sequence="
            + heartbeat.sequence()
            + " fencing_token="
            + heartbeat.fencingToken()
            + " known_incarnation="
            + machine.incarnation()
            + " known_sequence="
            + machine.sequence());
    machine.recordContact(context.nowMicros());
    responder.dropEarlierIncarnation(machine);
    machine.restartWorker(heartbeat);
    replicateIncarnation(machine);
    registry.renewLease(machine);
    availableMachines.remove(machine);
    if (!mayHoldEarlierWork(machine)) {
      registry.changePhase(machine, Machine.Phase.FENCING);
    }
    machine.commands().scheduleProbe(context.nowMicros());
  }

  private void replicateIncarnation(Machine machine) {
    context
        .standby()
        .replicate(
            new ReplicationBatch.Change(true, machine.id(), machine.incarnation(), "", 0, 0));
  }

  private void updateIncarnation(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.incarnation() > machine.incarnation() && machine.incarnation() > 0) {
      context.info("machine=" + machine.id() + " started incarnation=" + heartbeat.incarnation());
      tracker.freeAll(machine, "new incarnation");
      responder.dropEarlierIncarnation(machine);
      // A new incarnation starts with a full lease, regardless of when the previous incarnation was
      // last answered.
      registry.renewLease(machine);
    }
    boolean changed = heartbeat.incarnation() != machine.incarnation();
    machine.advanceTo(heartbeat.incarnation(), heartbeat.sequence());
    if (changed) {
      replicateIncarnation(machine);
    }
  }

  private void confirm(Machine machine) {
    if (machine.phase() == Machine.Phase.CONFIRMED) {
      return;
    }
    boolean fenced = machine.phase() == Machine.Phase.FENCING;
    registry.changePhase(machine, Machine.Phase.CONFIRMED);
    if (!fenced) {
      context.info("machine=" + machine.id() + " confirmed");
      registry.renewLease(machine);
      machine.markInUse(context.nowMicros());
    }
  }

  private static boolean mayHoldEarlierWork(Machine machine) {
    return machine.phase() == Machine.Phase.UNCONFIRMED
        || machine.phase() == Machine.Phase.RECOVERED
        || machine.phase() == Machine.Phase.FENCING;
  }

  /**
   * Starts a lease for a machine that is neither registered nor rented in this term and reports a
   * fencing token of an earlier term. The heartbeat was delayed, and the machine was deleted in the
   * meantime. Such a machine runs no task, because a machine is registered from before its first
   * launch until its termination. The reported tasks still count until the machine's lease would
   * expire or the machine answers a probe. Without that limit the tasks would not be placed again
   * until the machine's boot timed out.
   */
  private void expectLeaseExpiry(Machine machine) {
    context.info(
        "machine=" + machine.id() + " is unknown and reported an earlier term's fencing token");
    registry.changePhase(machine, Machine.Phase.FENCING);
    registry.renewLease(machine);
    machine.markInUse(context.nowMicros());
  }
}
