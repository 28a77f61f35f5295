package org.eiderstair.core.workers;

import java.util.List;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;

/** Sends the launches and kills that no answer to a heartbeat has carried in this pass. */
final class CommandSender {
  /** For how many heartbeat intervals a relayed heartbeat marks a machine as reached by a peer. */
  private static final int RELAYED_HEARTBEAT_INTERVALS = 2;

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

  /**
   * Sends all commands that are due.
   *
   * @param mayLaunch whether the leadership and the standby allow launches now
   * @param mayKill whether the leadership allows kills now
   */
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
   * Returns whether kills may be sent to a machine now. Kills do not wait for a launch or a probe
   * in flight, which may take its whole time limit, nor for the hold after a missing reply.
   */
  private boolean canKillNow(Machine machine) {
    boolean incarnationKnown = machine.phase() == Machine.Phase.FENCING || machine.isStateKnown();
    return incarnationKnown
        && !machine.commands().isKillInFlight()
        && context.nowMicros() >= machine.commands().nextKillMicros();
  }

  /**
   * Returns whether a peer relayed the machine's latest heartbeat and the last contact is recent.
   * This node may be unable to reach such a machine. Each command would time out, and the fence
   * raised for it would keep the machine from getting work. The machine's next heartbeat arrives
   * soon, and its answer carries the orders instead.
   */
  private boolean isReachedThroughPeer(Machine machine) {
    long relayedMicros =
        context.settings().workerTimings().heartbeatMicros() * RELAYED_HEARTBEAT_INTERVALS;
    return machine.isRelayed() && context.nowMicros() < machine.lastContactMicros() + relayedMicros;
  }

  private void sendLaunches(Machine machine) {
    // A command does not raise the token itself, because it may overtake an answer, which the
    // worker would then refuse.
    boolean acknowledges = machine.fence().coversLaunchCommands();
    List<Attempt> launches =
        launchReplication.takePlannedLaunches(machine, Attempt.SENT_BY_COMMAND, acknowledges);
    if (launches.isEmpty()) {
      return;
    }
    List<Order> acknowledgements =
        acknowledges ? List.copyOf(machine.acknowledgements()) : List.of();
    FencingToken fencingToken = machine.fencingToken();
    long incarnation = machine.incarnation();
    machine.fence().recordLaunchCommand();
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
