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
 * Takes heartbeats: drops late copies, follows incarnations and what the fencing token confirms,
 * and has the rest reconciled. The same goes for the heartbeats in replies to commands.
 */
final class HeartbeatHandler {
  // Sent to workers: stays as it is.
  private static final String TERMINATED = "machine was deleted";
  private static final int UNAVAILABLE = 503;

  private final TermContext context;
  private final EffectSink sink;
  private final StateWriter stateWriter;
  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
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
    this.responder = responder;
    this.prober = prober;
    this.reachability = reachability;
    this.reconciler = reconciler;
    this.drain = drain;
  }

  /**
   * Takes a heartbeat. Its answer, decided in the next pass, renews the lease and carries what the
   * machine must kill, forget and launch; so a machine whose task ended gets its next one without
   * another message.
   *
   * @param exchange where its answer goes
   * @param relayed whether it came through a peer
   */
  void receive(long exchange, Heartbeat heartbeat, boolean relayed) {
    if (heartbeat.fencingToken().term() > context.term()) {
      sink.respond(exchange, new Answer.Redirect(null));
      context
          .leadership()
          .stepDown(
              "machine="
                  + heartbeat.machine()
                  + " has seen fencing token "
                  + heartbeat.fencingToken());
      return;
    }
    if (registry.isTerminated(heartbeat.machine())) {
      sink.respond(exchange, new Answer.Failure(UNAVAILABLE, TERMINATED, 0));
      return;
    }
    Machine machine = findOrAdd(heartbeat);
    PendingHeartbeat.Freshness freshness =
        machine
            .pendingHeartbeat()
            .freshness(heartbeat.incarnation(), heartbeat.sequence(), machine.incarnation());
    if (freshness != PendingHeartbeat.Freshness.CURRENT) {
      // A copy, or one held on its way: its worker has given it up. It proves, renews and launches
      // nothing.
      responder.refuse(exchange, freshness.refusal());
      return;
    }
    if (!relayed) {
      reachability.noteDirectHeartbeat();
    }
    register(machine, heartbeat);
    machine.setRelayed(relayed);
    process(machine, heartbeat, true, !machine.commands().isInFlight());
    if (machine.phase() == Machine.Phase.UNCONFIRMED) {
      // The answer shows it our token, and its next heartbeat follows at once.
      prober.postpone(machine);
    }
    responder.enqueue(machine, heartbeat.sequence(), exchange);
  }

  /** Takes the heartbeat in a machine's reply to a command. */
  void receiveReply(Machine machine, Heartbeat heartbeat, boolean noCommandInFlight) {
    process(machine, heartbeat, false, noCommandInFlight);
  }

  private Machine findOrAdd(Heartbeat heartbeat) {
    Machine known = registry.machines().get(heartbeat.machine());
    if (known != null) {
      return known;
    }
    context.info("first heartbeat of machine=" + heartbeat.machine());
    return registry.expect(
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
   * Processes a heartbeat, unless a newer one of its machine came before.
   *
   * @param answered whether it is answered itself; one in a reply to a command is not. Only an
   *     answered one settles launches in the answer to an earlier one, since a reply may be written
   *     while that answer is still on its way
   * @param noCommandInFlight false while a command is on its way, since the heartbeat may have been
   *     written before that command arrived
   */
  private void process(
      Machine machine, Heartbeat heartbeat, boolean answered, boolean noCommandInFlight) {
    if (!heartbeat.newerThan(machine.incarnation(), machine.sequence())) {
      return;
    }
    machine.recordContact(context.nowMicros());
    followIncarnation(machine, heartbeat);
    if (heartbeat.noticeMicros() != Heartbeat.NO_NOTICE && machine.plan() == Machine.Plan.ACTIVE) {
      context.info("machine=" + machine.id() + " got notice of its preemption");
      drain.drainForNotice(machine, heartbeat.noticeMicros());
    }
    boolean showsOurToken = heartbeat.fencingToken().isAtLeast(machine.fencingToken());
    if (showsOurToken) {
      confirm(machine);
    } else if (mayHoldEarlierWork(machine)) {
      // Older commands may still arrive there; what it shows proves nothing yet.
      return;
    }
    reconciler.reconcile(
        machine, heartbeat, answered && showsOurToken, noCommandInFlight && showsOurToken);
    if (!showsOurToken
        && machine.phase() == Machine.Phase.BOOTING
        && heartbeat.fencingToken().compareTo(FencingToken.NONE) > 0) {
      expectLeaseExpiry(machine);
    }
    tracker.noteChange();
  }

  private void followIncarnation(Machine machine, Heartbeat heartbeat) {
    if (heartbeat.incarnation() > machine.incarnation() && machine.incarnation() > 0) {
      context.info(
          "machine="
              + machine.id()
              + " lost its lease and began incarnation "
              + heartbeat.incarnation());
      tracker.freeAll(machine, "new incarnation");
      responder.dropEarlierIncarnation(machine);
      // A new incarnation has its full lease from its own beginning, whenever the one before was
      // last answered.
      registry.renewLease(machine);
    }
    if (heartbeat.incarnation() != machine.incarnation()) {
      context
          .standby()
          .replicate(
              new ReplicationBatch.Change(true, machine.id(), heartbeat.incarnation(), "", 0, 0));
    }
    machine.advanceTo(heartbeat.incarnation(), heartbeat.sequence());
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
   * A machine that is neither registered nor rented in this term shows a token of an earlier term:
   * its heartbeat was held on its way, and the machine was deleted meanwhile. No such machine can
   * hold anything, since each is registered from before its first launch until it is terminated.
   * What the heartbeat shows counts all the same, but only until the machine's lease would expire,
   * or until it answers a probe; otherwise it would hold its tasks back until it counted as never
   * booted.
   */
  private void expectLeaseExpiry(Machine machine) {
    context.info(
        "machine=" + machine.id() + " is unknown and shows an earlier term's fencing token");
    registry.changePhase(machine, Machine.Phase.FENCING);
    registry.renewLease(machine);
    machine.markInUse(context.nowMicros());
  }
}
