package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.LeaderFixture;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Entry;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;

/**
 * What distinguishes two states of a {@link CommandWorld} apart. Of sequence numbers only their
 * order counts, of attempts only which are the same, of times only about how long ago.
 */
final class StateKey {
  private static final long ALIKE_MICROS = 10_000_000;

  private final CommandWorld world;
  private final StringBuilder key = new StringBuilder();
  private final Ranks ranks = new Ranks();
  private final Aliases attempts = new Aliases();

  private StateKey(CommandWorld world) {
    this.world = world;
  }

  static String of(CommandWorld world) {
    StateKey state = new StateKey(world);
    state.worker();
    world.commands.forEach(state::command);
    state.reports();
    world.leaders.forEach(state::leader);
    return state.key.append(state.ranks).toString();
  }

  private void worker() {
    SearchWorker worker = world.worker;
    ranks.add(worker.incarnation, worker.sequence);
    key.append(world.cancelled)
        .append(world.copies)
        .append(worker.fencingToken)
        .append('/')
        .append(worker.incarnation);
    key.append((world.now - worker.answeredSentMicros) / ALIKE_MICROS);
    entries(List.copyOf(worker.tasks.values()));
  }

  private void command(InFlightCommand command) {
    key.append("|c").append(command.leader).append(command.givenUp);
    key.append(command.request.fencingToken()).append('/').append(command.request.incarnation());
    orders(command.request.orders());
    if (command.reply != null) {
      content(command.reply.heartbeat());
    }
  }

  private void reports() {
    if (world.report != null) {
      key.append("|r").append(world.report.leader).append(world.report.exchange > 0);
      content(world.report.content);
      if (world.report.answer instanceof Answer.Command command) {
        key.append(command.fencingToken());
        orders(command.orders());
      } else {
        key.append(world.report.answer);
      }
    }
    if (world.earlier != null) {
      key.append("|e");
      content(world.earlier);
    }
  }

  private void leader(LeaderFixture leader) {
    Machine machine = leader.workers.machines().get(CommandWorld.MACHINE);
    Job job = leader.replica.job(CommandWorld.JOB);
    ranks.add(machine.incarnation(), machine.sequence());
    key.append('#')
        .append(leader.leadership.isLeader())
        .append(job.completedTasks())
        .append(job.state());
    key.append(machine.phase())
        .append(machine.fencingToken())
        .append(machine.commands().isInFlight())
        .append(machine.commands().isKillInFlight())
        .append(machine.commands().areKillsPending());
    key.append(machine.acknowledgements().size())
        .append(machine.untrackedTasks().size())
        .append(world.now >= machine.holdUntilMicros());
    key.append((world.now - machine.answeredMicros()) / ALIKE_MICROS);
    for (Attempt attempt : machine.attempts()) {
      key.append(attempt.index()).append(attempt.phase()).append(attempts.of(attempt.number()));
      ranks.add(machine.incarnation(), attempt.sentSequence());
    }
  }

  private void orders(List<Order> orders) {
    for (Order order : orders) {
      key.append(order.getClass().getSimpleName())
          .append(order.task().index())
          .append(attempts.of(order.attempt()));
    }
  }

  private void entries(List<Entry> entries) {
    for (Entry entry : entries) {
      key.append(entry.task().index())
          .append(attempts.of(entry.attempt()))
          .append(entry.state())
          .append(entry.exit());
    }
  }

  private void content(Heartbeat heartbeat) {
    ranks.add(heartbeat.incarnation(), heartbeat.sequence());
    key.append(heartbeat.fencingToken());
    entries(heartbeat.tasks());
  }

  /** Replaces numbers by the order in which they are met. */
  private static final class Aliases {
    private final Map<Long, Integer> known = new HashMap<>();

    char of(long number) {
      return (char) ('a' + known.computeIfAbsent(number, n -> known.size()));
    }
  }

  /** Replaces positions by their order among all that are given. */
  private static final class Ranks {
    private final List<long[]> positions = new ArrayList<>();

    void add(long incarnation, long sequence) {
      positions.add(new long[] {incarnation, sequence});
    }

    @Override
    public String toString() {
      List<long[]> sorted = new ArrayList<>(positions);
      sorted.sort(
          (attempt, b) ->
              attempt[0] != b[0] ? Long.compare(attempt[0], b[0]) : Long.compare(attempt[1], b[1]));
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
