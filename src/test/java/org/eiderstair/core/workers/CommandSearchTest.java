package org.eiderstair.core.workers;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import net.jqwik.api.Example;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Machine;

/**
 * Every order of a small case, to a stated depth: one machine, two leaders one after the other, one
 * or two tasks of a job that may be cancelled; commands, replies, heartbeats and answers that are
 * delivered, lost, given up and executed late. States that look the same are visited once. Further:
 * {@code mvn -B test -Dtest=CommandSearchTest -Dsearch.states=200000}.
 *
 * <p>What must hold in every state, for the newest leader: a task that it may place elsewhere is
 * not alive on the machine and no launch of it can still be executed there ({@code ran_twice}); it
 * counts at least what the team runs ({@code quota}); no launch leaves for a job that it knows to
 * be cancelled; and once all messages have come or are lost, a few heartbeats later nothing of a
 * cancelled job is left ({@code ran_cancelled}), and all of an open one is done or runs.
 */
class CommandSearchTest {
  private static final int STATES = Integer.getInteger("search.states", 15_000);
  private static final int DEPTH = Integer.getInteger("search.depth", 11);
  private static final int MAX_IN_FLIGHT = 2;

  /** What the service is made to do wrong, to see that the search finds it. */
  private enum Mistake {
    NONE,
    FORGETS_LAUNCHES,
    FORGETS_CANCELLED,
    NEVER_KILLS
  }

  private static CommandWorld replay(
      int taskCount, boolean withReplica, Mistake mistake, List<String> path) {
    CommandWorld world = new CommandWorld(taskCount, withReplica);
    for (String step : path) {
      Runnable action = world.actions().get(step);
      world.act(action);
      make(mistake, world);
    }
    return world;
  }

  /** The state after each step, as a service with that mistake would have it. */
  private static void make(Mistake mistake, CommandWorld world) {
    Machine machine = world.newestLeader().workers.machines().get(CommandWorld.MACHINE);
    switch (mistake) {
      case NONE -> {}
      case FORGETS_LAUNCHES -> {
        if (!machine.commands().isInFlight()) {
          new ArrayList<>(machine.attempts())
              .stream()
                  .filter(attempt -> attempt.phase() == Attempt.Phase.SENT)
                  .forEach(world.newestLeader().workers::remove);
        }
      }
      case FORGETS_CANCELLED -> {
        for (Attempt attempt : new ArrayList<>(machine.attempts())) {
          if (!attempt.job().isOpen()) {
            world.newestLeader().workers.remove(attempt);
          }
        }
      }
      case NEVER_KILLS -> world.losesKills = true;
    }
  }

  /** Searches breadth first; the first state that breaks something, with its path. */
  private String search(int taskCount, boolean withReplica, Mistake mistake) {
    ArrayDeque<List<String>> open = new ArrayDeque<>();
    Set<String> known = new HashSet<>();
    open.add(List.of());
    while (!open.isEmpty() && known.size() < STATES) {
      List<String> path = open.poll();
      for (String step : replay(taskCount, withReplica, mistake, path).actions().keySet()) {
        List<String> next = new ArrayList<>(path);
        next.add(step);
        CommandWorld world = replay(taskCount, withReplica, mistake, next);
        if (world.broken.isEmpty() && known.add(StateKey.of(world))) {
          if (next.size() < DEPTH && world.commands.size() <= MAX_IN_FLIGHT) {
            open.add(next);
          }
          world.settle();
        }
        if (!world.broken.isEmpty()) {
          return world.broken.get(0) + " after " + next;
        }
      }
    }
    return "";
  }

  @Example
  void noOrderOfMessagesBreaksARule() {
    for (boolean withReplica : new boolean[] {false, true}) {
      for (int taskCount = 1; taskCount <= 2; taskCount++) {
        assertEquals(
            "",
            search(taskCount, withReplica, Mistake.NONE),
            "tasks " + taskCount + ", replica " + withReplica);
      }
    }
  }

  @Example
  void theSearchFindsPlantedMistakes() {
    assertTrue(search(1, false, Mistake.FORGETS_LAUNCHES).startsWith("ran_twice"));
    assertTrue(search(1, false, Mistake.FORGETS_CANCELLED).startsWith("ran_twice"));
    assertTrue(search(1, true, Mistake.NEVER_KILLS).startsWith("ran_cancelled"));
  }
}
