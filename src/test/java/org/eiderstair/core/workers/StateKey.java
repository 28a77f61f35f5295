package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;

/**
 * Builds a key that is equal for equivalent states of a {@link CommandSimulation}. The key contains
 * only the order of sequence numbers, the identity of attempts and the approximate age of times.
 */
final class StateKey {
  private static final long AGE_BUCKET_MICROS = 10_000_000;

  private final CommandSimulation simulation;
  private final StringBuilder key = new StringBuilder();
  private final Ranks ranks = new Ranks();
  private final Aliases attempts = new Aliases();

  private StateKey(CommandSimulation simulation) {
    this.simulation = simulation;
  }

  static String of(CommandSimulation simulation) {
    StateKey state = new StateKey(simulation);
    state.appendWorker();
    simulation.commands.forEach(state::appendCommand);
    state.appendExecutedCommands();
    state.appendHeartbeats();
    simulation.leaders.forEach(state::appendLeader);
    return state.key.append(state.ranks).toString();
  }

  private void appendWorker() {
    ProtocolWorker worker = simulation.worker;
    ranks.add(worker.incarnation, worker.sequence);
    key.append(simulation.cancelled)
        .append(simulation.deliveredCopies)
        .append(simulation.deliveredCommandCopies)
        .append(worker.fencingToken)
        .append('/')
        .append(worker.incarnation);
    key.append((simulation.now - worker.leaseStartMicros) / AGE_BUCKET_MICROS);
    appendEntries(List.copyOf(worker.tasks.values()));
  }

  private void appendCommand(InFlightCommand command) {
    key.append("|c").append(command.leader).append(command.givenUp);
    key.append(command.request.fencingToken()).append('/').append(command.request.incarnation());
    appendOrders(command.request.orders());
    if (command.reply != null) {
      appendHeartbeat(command.reply.heartbeat());
    }
  }

  /** Appends the executed commands of which a copy would be executed. */
  private void appendExecutedCommands() {
    for (Request.WorkerCommands command : simulation.executed) {
      if (simulation.worker.accepts(command)) {
        key.append("|x").append(command.fencingToken());
        appendOrders(command.orders());
      }
    }
  }

  private void appendHeartbeats() {
    if (simulation.heartbeat != null) {
      key.append("|r")
          .append(simulation.heartbeat.leader)
          .append(simulation.heartbeat.exchange > 0);
      appendHeartbeat(simulation.heartbeat.content);
      if (simulation.heartbeat.answer instanceof Answer.Command command) {
        key.append(command.fencingToken());
        appendOrders(command.orders());
      } else {
        key.append(simulation.heartbeat.answer);
      }
    }
    if (simulation.earlierHeartbeat != null) {
      key.append("|e");
      appendHeartbeat(simulation.earlierHeartbeat);
    }
  }

  private void appendLeader(LeaderFixture leader) {
    Machine machine = leader.workers.machines().get(CommandSimulation.MACHINE);
    Job job = leader.replica.job(CommandSimulation.JOB);
    ranks.add(machine.incarnation(), machine.sequence());
    key.append('#')
        .append(leader.leadership.isLeader())
        .append(job.completedTasks())
        .append(job.state());
    key.append(machine.phase())
        .append(machine.fencingToken())
        .append(machine.fence().isConfirmedBy(simulation.worker.fencingToken))
        .append(machine.fence().coversLaunchCommands())
        .append(machine.commands().isInFlight())
        .append(machine.commands().isKillInFlight())
        .append(machine.commands().areKillsPending());
    key.append(machine.acknowledgements().size())
        .append(machine.untrackedTasks().size())
        .append(simulation.now >= machine.holdUntilMicros());
    key.append((simulation.now - machine.answeredMicros()) / AGE_BUCKET_MICROS);
    for (Attempt attempt : machine.attempts()) {
      key.append(attempt.index()).append(attempt.phase()).append(attempts.of(attempt.number()));
      ranks.add(machine.incarnation(), attempt.sentSequence());
    }
  }

  private void appendOrders(List<Order> orders) {
    for (Order order : orders) {
      key.append(order.getClass().getSimpleName())
          .append(order.task().index())
          .append(attempts.of(order.attempt()));
    }
  }

  private void appendEntries(List<Entry> entries) {
    for (Entry entry : entries) {
      key.append(entry.task().index())
          .append(attempts.of(entry.attempt()))
          .append(entry.state())
          .append(entry.exit());
    }
  }

  private void appendHeartbeat(Heartbeat heartbeat) {
    ranks.add(heartbeat.incarnation(), heartbeat.sequence());
    key.append(heartbeat.fencingToken());
    appendEntries(heartbeat.tasks());
  }

  /** Replaces each attempt number by a letter, in the order of first use. */
  private static final class Aliases {
    private final Map<Long, Integer> known = new HashMap<>();

    char of(long number) {
      return (char) ('a' + known.computeIfAbsent(number, n -> known.size()));
    }
  }

  /** Replaces each pair of incarnation and sequence by its rank among all added pairs. */
  private static final class Ranks {
    private final List<long[]> positions = new ArrayList<>();

    void add(long incarnation, long sequence) {
      positions.add(new long[] {incarnation, sequence});
    }

    @Override
    public String toString() {
      List<long[]> sorted = new ArrayList<>(positions);
      sorted.sort(
          (first, second) ->
              first[0] != second[0]
                  ? Long.compare(first[0], second[0])
                  : Long.compare(first[1], second[1]));
      StringBuilder ranks = new StringBuilder();
      for (long[] position : positions) {
        int rank = 0;
        while (sorted.get(rank)[0] != position[0] || sorted.get(rank)[1] != position[1]) {
          rank++;
        }
        ranks.append(position[0]).append('.').append(rank).append(' ');
      }
      return ranks.toString();
    }
  }
}
