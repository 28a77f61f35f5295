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
 * Searches the message orders of a small case up to a maximum depth and number of states. The case
 * has one machine, two successive leaders and one or two tasks of a job that may be cancelled.
 * Commands, replies, heartbeats and answers are delivered, lost, given up or executed late, and a
 * copy of an executed command may be executed once more. Tasks complete or fail. Equivalent states
 * are visited once. A larger search: {@code mvn -B test -Dtest=CommandSearchTest
 * -Dsearch.states=200000}.
 *
 * <p>These rules must hold in every state, for the newest leader:
 *
 * <ul>
 *   <li>{@code ran_twice}: a task that the leader may place elsewhere is not active on the machine,
 *       and no launch of the task can still be executed there.
 *   <li>{@code quota}: the leader counts at least the resources that the team uses.
 *   <li>No launch is sent for a job that the leader knows to be cancelled.
 *   <li>{@code ran_cancelled}: a few heartbeats after all messages were delivered or lost, no task
 *       of a cancelled job is active. By then each task of an open job is active or completed.
 * </ul>
 */
class CommandSearchTest {
  private static final int MAX_STATES = Integer.getInteger("search.states", 15_000);
  private static final int MAX_DEPTH = Integer.getInteger("search.depth", 11);
  private static final int MAX_COMMANDS_IN_FLIGHT = 2;

  /** The steps after which a launch by command was executed and answered. */
  private static final List<String> ANSWERED_LAUNCH =
      List.of("pass", "command 0 arrives", "reply 0 arrives");

  /** A fault injected into the leader or the worker to verify that the search detects it. */
  private enum Fault {
    /** No fault. */
    NONE,
    /** The leader removes sent attempts when no command is in flight. */
    FORGETS_LAUNCHES,
    /** The leader removes the attempts of cancelled jobs. */
    FORGETS_CANCELLED,
    /** The worker receives no kills. */
    NEVER_KILLS
  }

  private static CommandSimulation replay(
      int taskCount, boolean withReplica, Fault fault, List<String> path) {
    CommandSimulation simulation = new CommandSimulation(taskCount, withReplica);
    for (String step : path) {
      Runnable action = simulation.actions().get(step);
      simulation.perform(action);
      injectFault(fault, simulation);
    }
    return simulation;
  }

  /** Applies the fault to the state after a step. */
  private static void injectFault(Fault fault, CommandSimulation simulation) {
    Machine machine = simulation.newestLeader().workers.machines().get(CommandSimulation.MACHINE);
    switch (fault) {
      case NONE -> {}
      case FORGETS_LAUNCHES -> {
        if (!machine.commands().isInFlight()) {
          new ArrayList<>(machine.attempts())
              .stream()
                  .filter(attempt -> attempt.phase() == Attempt.Phase.SENT)
                  .forEach(simulation.newestLeader().workers::remove);
        }
      }
      case FORGETS_CANCELLED -> {
        for (Attempt attempt : new ArrayList<>(machine.attempts())) {
          if (!attempt.job().isOpen()) {
            simulation.newestLeader().workers.remove(attempt);
          }
        }
      }
      case NEVER_KILLS -> simulation.worker.dropsKills = true;
    }
  }

  /**
   * Searches breadth first.
   *
   * @return the first violation with its path, or an empty string if there is none
   */
  private String search(int taskCount, boolean withReplica, Fault fault) {
    return search(taskCount, withReplica, fault, List.of());
  }

  /** Searches as {@link #search(int, boolean, Fault)}, from the state after some first steps. */
  private String search(int taskCount, boolean withReplica, Fault fault, List<String> firstSteps) {
    ArrayDeque<List<String>> open = new ArrayDeque<>();
    Set<String> known = new HashSet<>();
    open.add(firstSteps);
    while (!open.isEmpty() && known.size() < MAX_STATES) {
      List<String> path = open.poll();
      for (String step : replay(taskCount, withReplica, fault, path).actions().keySet()) {
        List<String> next = new ArrayList<>(path);
        next.add(step);
        CommandSimulation simulation = replay(taskCount, withReplica, fault, next);
        if (simulation.violations.isEmpty() && known.add(StateKey.of(simulation))) {
          if (next.size() < firstSteps.size() + MAX_DEPTH
              && simulation.commands.size() <= MAX_COMMANDS_IN_FLIGHT) {
            open.add(next);
          }
          simulation.settle();
        }
        if (!simulation.violations.isEmpty()) {
          return simulation.violations.get(0) + " after " + next;
        }
      }
    }
    return "";
  }

  private void assertNoViolationAfter(List<String> firstSteps) {
    for (boolean withReplica : new boolean[] {false, true}) {
      for (int taskCount = 1; taskCount <= 2; taskCount++) {
        assertEquals(
            "",
            search(taskCount, withReplica, Fault.NONE, firstSteps),
            "tasks " + taskCount + ", replica " + withReplica);
      }
    }
  }

  @Example
  void noMessageOrderViolatesARule() {
    assertNoViolationAfter(List.of());
  }

  @Example
  void noCopyOfAnAnsweredLaunchViolatesARule() {
    assertNoViolationAfter(ANSWERED_LAUNCH);
  }

  @Example
  void searchDetectsInjectedFaults() {
    assertTrue(search(1, false, Fault.FORGETS_LAUNCHES).startsWith("ran_twice"));
    assertTrue(search(1, false, Fault.FORGETS_CANCELLED).startsWith("ran_twice"));
    assertTrue(search(1, true, Fault.NEVER_KILLS).startsWith("ran_cancelled"));
  }
}
