package org.eiderstair.core.workers;

import java.util.List;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;

/** Sends launches and kills by command to machines that no answer to a heartbeat reaches now. */
final class CommandSender {
  /** A machine counts as reached through a peer for so many intervals of heartbeats. */
  private static final int RELAYED_INTERVALS = 2;

  private final TermContext context;
  private final CommandQueue commandQueue;
  private final LaunchReplication launchReplication;
  private final WorkerCommandClient client;

  CommandSender(
      TermContext context,
      CommandQueue commandQueue,
      LaunchReplication launchReplication,
      WorkerCommandClient client) {
    this.context = context;
    this.commandQueue = commandQueue;
    this.launchReplication = launchReplication;
    this.client = client;
  }

  /** Sends what is due, as far as the leadership allows. */
  void sendDue(boolean mayLaunch, boolean mayKill) {
    for (Machine machine : commandQueue.snapshot()) {
      if (machine.plannedLaunches().isEmpty() && !machine.commands().areKillsPending()) {
        commandQueue.remove(machine);
      } else if (!isReachedThroughPeer(machine)) {
        if (mayKill && machine.commands().areKillsPending() && canKillNow(machine)) {
          sendKills(machine);
        }
        if (mayLaunch && !machine.plannedLaunches().isEmpty() && canLaunchNow(machine)) {
          sendLaunches(machine);
        }
      }
    }
  }

  private boolean canLaunchNow(Machine machine) {
    return !machine.commands().isInFlight()
        && machine.isStateKnown()
        && context.nowMicros() >= machine.holdUntilMicros();
  }

  /**
   * Kills wait for nothing else that is on its way to the machine: not for a launch or a probe
   * without a reply, which may take its whole time limit, nor for the hold after one.
   */
  private boolean canKillNow(Machine machine) {
    boolean incarnationKnown = machine.phase() == Machine.Phase.FENCING || machine.isStateKnown();
    return incarnationKnown
        && !machine.commands().isKillInFlight()
        && context.nowMicros() >= machine.commands().nextKillMicros();
  }

  /**
   * This node may not reach a machine whose heartbeats a peer relays: each command would run into
   * its time limit, and the fence raised for it would keep the machine from work. The answer to its
   * next heartbeat, which is soon here, carries the orders instead.
   */
  private boolean isReachedThroughPeer(Machine machine) {
    long relayedMicros = context.settings().workerTimings().heartbeatMicros() * RELAYED_INTERVALS;
    return machine.isRelayed() && context.nowMicros() < machine.lastContactMicros() + relayedMicros;
  }

  private void sendLaunches(Machine machine) {
    List<Order.Acknowledge> acknowledgements = List.copyOf(machine.acknowledgements());
    List<Attempt> launches = launchReplication.take(machine, Attempt.SENT_BY_COMMAND);
    FencingToken fencingToken = machine.fencingToken();
    long incarnation = machine.incarnation();
    machine.commands().beginCommand();
    launchReplication.send(
        launches,
        () -> {
          List<Order> orders = WorkerOrders.withLaunches(acknowledgements, launches);
          client.launch(
              machine,
              new Request.WorkerCommands(machine.address(), fencingToken, incarnation, orders),
              launches);
        },
        () -> machine.commands().endCommand());
  }

  private void sendKills(Machine machine) {
    machine.commands().clearKills();
    List<Order> kills = WorkerOrders.kills(machine);
    if (!kills.isEmpty()) {
      client.kill(machine, kills);
    }
  }
}
