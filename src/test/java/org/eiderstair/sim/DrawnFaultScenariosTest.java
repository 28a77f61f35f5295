package org.eiderstair.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.fail;

import java.util.ArrayList;
import java.util.List;
import java.util.function.BiPredicate;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.function.UnaryOperator;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.JobSpecBuilder;
import org.eiderstair.core.model.Order;

/**
 * Days on which faults come in pairs and threes, drawn from fixed seeds. Another range: {@code mvn
 * -B test -Dtest=DrawnFaultScenariosTest -Ddrawn.first=1000 -Ddrawn.days=500}.
 */
class DrawnFaultScenariosTest {
  private static final long SECOND = 1_000_000;
  private static final long FIRST = Long.getLong("drawn.first", 1);
  private static final int DAYS = Integer.getInteger("drawn.days", 80);
  private static final int LATE_COMMAND_DAYS = Integer.getInteger("drawn.late", 1);
  private static final FaultInjector.Kind[] KINDS = FaultInjector.Kind.values();
  private static final int FAULT_GROUPS = 3;
  private static final int DAYS_TO_FIND = 12;
  private static final double MIN_COMPLETED_SHARE = 0.5;
  private static final long FAULTS_END = 290 * SECOND;

  /** From then on no job may wait beside room, and every question is answered. */
  private static final long FAULTS_OVER = 320 * SECOND;

  /** Two or three faults within seconds, three times a day. */
  private static SimulatedCluster play(long seed, Consumer<SimulatedCluster> planted) {
    SimulatedCluster day = SimulatedDay.prepare(seed, ClusterSize.SMALL);
    planted.accept(day);
    for (int group = 0; group < FAULT_GROUPS; group++) {
      long at = drawGroupStart(day, group);
      int count = 2 + day.random.nextInt(2);
      for (int i = 0; i < count; i++) {
        FaultInjector.Kind kind = KINDS[day.random.nextInt(KINDS.length)];
        long span = (4 + day.random.nextInt(38)) * SECOND;
        day.clock.after(
            at + day.random.nextInt(4_000_000),
            () -> day.faults.begin(kind, Math.min(span, FAULTS_END - day.clock.now())));
      }
    }
    return playToTheEnd(day);
  }

  private static long drawGroupStart(SimulatedCluster day, int group) {
    return (25 + group * 70 + day.random.nextInt(30)) * SECOND;
  }

  private static SimulatedCluster playToTheEnd(SimulatedCluster day) {
    day.clock.after(FAULTS_OVER, day.liveness::faultsAreOver);
    day.clock.runUntil(FAULTS_OVER + 10 * SECOND);
    day.recordCompletedShare(SimulatedDay.COUNTED_UNTIL);
    day.clock.runUntil(700 * SECOND);
    return day;
  }

  private static String verdict(SimulatedCluster day) {
    if (day.rules.violations().isEmpty()
        && day.users.unfinished().isEmpty()
        && day.tasks.starts() > 0
        && day.completedShare() >= MIN_COMPLETED_SHARE) {
      return null;
    }
    return day.rules.violations().stream().limit(2).toList()
        + " unfinished "
        + day.users.unfinished()
        + " completed share "
        + day.completedShare();
  }

  @Example
  void noRuleBreaksUnderCombinedFaults() {
    List<String> failures = new ArrayList<>();
    for (long seed = FIRST; seed < FIRST + DAYS; seed++) {
      String verdict = verdict(play(seed, day -> {}));
      if (verdict != null) {
        failures.add(
            "seed "
                + seed
                + ": "
                + verdict
                + "; again: mvn -B test -Dtest=DrawnFaultScenariosTest#noRuleBreaksUnder* -Ddrawn.first="
                + seed
                + " -Ddrawn.days=1 -DargLine=-Dsim.log=true");
      }
    }
    assertEquals(List.of(), failures);
  }

  /**
   * Commands that come late, with each other fault, three times on a day and with a third one
   * drawn.
   */
  @Example
  void noRuleBreaksWithLateCommandsAndAnotherFault() {
    List<String> failures = new ArrayList<>();
    for (FaultInjector.Kind other : KINDS) {
      for (long seed = FIRST; seed < FIRST + LATE_COMMAND_DAYS; seed++) {
        String verdict = verdict(playWithLateCommands(seed, other));
        if (verdict != null) {
          failures.add(
              other
                  + " seed "
                  + seed
                  + ": "
                  + verdict
                  + "; again: mvn -B test -Dtest=DrawnFaultScenariosTest#noRuleBreaksWithLate*"
                  + " -Ddrawn.first="
                  + seed
                  + " -Ddrawn.late=1 -DargLine=-Dsim.log=true");
        }
      }
    }
    assertEquals(List.of(), failures);
  }

  private static SimulatedCluster playWithLateCommands(long seed, FaultInjector.Kind other) {
    SimulatedCluster day = SimulatedDay.prepare(seed * 1000 + other.ordinal(), ClusterSize.SMALL);
    for (int group = 0; group < FAULT_GROUPS; group++) {
      long at = drawGroupStart(day, group);
      FaultInjector.Kind third = KINDS[day.random.nextInt(KINDS.length)];
      day.clock.after(at, () -> day.faults.begin(FaultInjector.Kind.LATE_COMMANDS, 45 * SECOND));
      for (FaultInjector.Kind kind : List.of(other, third)) {
        long span = (4 + day.random.nextInt(30)) * SECOND;
        day.clock.after(at + day.random.nextInt(12_000_000), () -> day.faults.begin(kind, span));
      }
    }
    return playToTheEnd(day);
  }

  /** A planted fault breaks the rule on some day. */
  private static void assertFound(Rule rule, Consumer<SimulatedCluster> planted) {
    assertFound(
        rule.toString(),
        day -> day.rules.violations().stream().anyMatch(found -> found.rule() == rule),
        planted);
  }

  private static void assertFound(
      String what, Predicate<SimulatedCluster> found, Consumer<SimulatedCluster> planted) {
    List<Violation> violations = new ArrayList<>();
    for (long seed = 1; seed <= DAYS_TO_FIND; seed++) {
      SimulatedCluster day = play(seed, planted);
      if (found.test(day)) {
        return;
      }
      violations.addAll(day.rules.violations());
    }
    fail(what + " not found in " + violations.stream().limit(5).toList());
  }

  /** Takes some orders out of all that is sent to machines. */
  private static void assertFoundWithout(Predicate<Order> lost, Rule rule) {
    assertFound(rule, day -> lose(lost, day));
  }

  /** Less than half of some class's, team's or large jobs' work is completed in time. */
  private static void assertLateWorkFound(Consumer<SimulatedCluster> planted) {
    assertFound(
        "a completed share below " + MIN_COMPLETED_SHARE,
        day -> day.completedShare() < MIN_COMPLETED_SHARE,
        planted);
  }

  private static void assertLateWorkFoundWithout(Predicate<Order> lost) {
    assertLateWorkFound(day -> lose(lost, day));
  }

  private static List<Order> without(Predicate<Order> lost, List<Order> orders) {
    return orders.stream().filter(lost.negate()).toList();
  }

  /** Some orders neither go out in commands nor in answers to heartbeats. */
  private static void lose(Predicate<Order> lost, SimulatedCluster day) {
    day.planted.request = request -> withoutOrders(lost, request);
    day.planted.answer =
        answer ->
            answer instanceof Answer.Command command
                ? new Answer.Command(command.fencingToken(), without(lost, command.orders()))
                : answer;
  }

  private static Request withoutOrders(Predicate<Order> lost, Request request) {
    if (request instanceof Request.WorkerCommands commands) {
      return new Request.WorkerCommands(
          commands.address(),
          commands.fencingToken(),
          commands.incarnation(),
          without(lost, commands.orders()));
    }
    return request;
  }

  /** Machines that do not obey: what they may not go on with goes with them, in time. */
  @Example
  void machinesThatKillNothingAreGivenBackInTime() {
    for (long seed = 1; seed <= 6; seed++) {
      SimulatedCluster day = SimulatedDay.prepare(seed, ClusterSize.SMALL);
      lose(order -> order instanceof Order.Kill, day);
      day.clock.after(90 * SECOND, () -> day.outages.crash(day.leader(), 3 * SECOND));
      day.clock.runUntil(600 * SECOND);
      assertEquals(List.of(), day.rules.violations(), "seed " + seed);
    }
  }

  private static Answer.JobView view(String job, Answer.Phase phase) {
    return new Answer.JobView(200, job, phase, 0, 0);
  }

  private static boolean isViewIn(Answer.Phase phase, Answer answer) {
    return answer instanceof Answer.JobView view && view.phase() == phase;
  }

  private static boolean isFailure(int status, Answer answer) {
    return answer instanceof Answer.Failure failure && failure.status() == status;
  }

  /** Puts another answer in the place of some. */
  private static Consumer<SimulatedCluster> answering(
      BiPredicate<SimulatedCluster, Answer> replaced, UnaryOperator<Answer> replacement) {
    return day ->
        day.planted.answer =
            answer -> replaced.test(day, answer) ? replacement.apply(answer) : answer;
  }

  private static UnaryOperator<Answer> inPhase(Answer.Phase phase) {
    return answer -> view(((Answer.JobView) answer).id(), phase);
  }

  @Example
  void answersThatAreOlderOrUntrueAreFound() {
    assertFound(
        Rule.WENT_BACK,
        answering(
            (day, answer) -> isViewIn(Answer.Phase.CANCELLED, answer) && day.random.nextInt(3) == 0,
            inPhase(Answer.Phase.RUNNING)));
    assertFound(
        Rule.NOT_DONE,
        answering(
            (day, answer) -> isViewIn(Answer.Phase.RUNNING, answer), inPhase(Answer.Phase.DONE)));
    assertFound(
        Rule.FORGOTTEN,
        answering(
            (day, answer) -> answer instanceof Answer.JobView && day.random.nextInt(50) == 0,
            answer -> new Answer.Failure(404, "no such job", 0)));
    assertFound(
        Rule.INVENTED,
        answering(
            (day, answer) -> isFailure(404, answer),
            answer -> view("job-900001", Answer.Phase.PENDING)));
    Consumer<SimulatedCluster> acceptsImpossible =
        answering(
            (day, answer) -> isFailure(422, answer),
            answer -> new Answer.JobView(201, "job-800001", Answer.Phase.PENDING, 0, 0));
    assertFound(
        Rule.ACCEPTED_IMPOSSIBLE,
        acceptsImpossible.andThen(
            day ->
                day.clock.after(
                    20 * SECOND,
                    () -> day.faults.begin(FaultInjector.Kind.INVALID_REQUESTS, 20 * SECOND))));
  }

  @Example
  void tasksWhereTheyMustNotBeAreFound() {
    Predicate<Order> kills = order -> order instanceof Order.Kill;
    assertFound(
        Rule.RAN_CANCELLED,
        day -> {
          lose(kills, day);
          // What is not killed is not released either.
          day.planted.request =
              request ->
                  request instanceof Request.CloudDelete
                      ? new Request.CloudDelete(List.of())
                      : withoutOrders(kills, request);
        });
    assertFound(Rule.QUOTA, day -> day.rules.limitTeamsTo(day.size.limit() / 3));
    assertFound(
        Rule.WRONG_PLACE, day -> day.planted.submission = DrawnFaultScenariosTest::inAnyZone);
  }

  private static JobSpec inAnyZone(JobSpec spec) {
    return JobSpecBuilder.like(spec).zone(null).build();
  }

  @Example
  void jobsThatAreLeftWaitingAreFound() {
    assertFoundWithout(
        order -> order instanceof Order.Launch && order.task().job().endsWith("1"),
        Rule.WAITS_BESIDE_ROOM);
    assertFound(
        Rule.LARGEST_DELAYED,
        day -> lose(order -> order instanceof Order.Launch && tasksOf(day, order) > 9, day));
    assertLateWorkFoundWithout(
        order -> order instanceof Order.Launch && order.task().job().compareTo("job-000012") < 0);
    // Only large jobs are held back, until long after the half of them should have been done: less
    // than a tenth of all jobs.
    assertLateWorkFound(
        day ->
            lose(
                order ->
                    order instanceof Order.Launch
                        && day.clock.now() < FAULTS_OVER + 15 * SECOND
                        && tasksOf(day, order) > 10,
                day));
  }

  private static int tasksOf(SimulatedCluster day, Order order) {
    return day.users.spec(order.task().job()).tasks();
  }

  /** Nobody answers about one job in ten, though its state is known. */
  @Example
  void questionsThatAreNotAnsweredAreFound() {
    assertFound(
        Rule.UNANSWERED,
        answering(
            (day, answer) ->
                answer instanceof Answer.JobView view
                    && view.id().endsWith("3")
                    && day.clock.now() > FAULTS_OVER,
            answer -> new Answer.Failure(503, "planted", 1)));
  }
}
