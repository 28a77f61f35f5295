package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.leadership.FailoverTimeline;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.leadership.LeadershipBounds;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.standby.Standby;

/**
 * Tells machines what was decided: in the answers to their reports, and by commands, of which one
 * that launches or asks and one that only kills may be on their way to a machine at a time.
 */
final class CommandDispatcher {
  /** Takes what a machine showed in its reply to a command. */
  interface ReplyHandler {
    /**
     * @param settles whether no launch by command can still be on its way
     */
    void replied(Machine machine, Heartbeat report, boolean settles);
  }

  private static final long ASK_AGAIN_MICROS = 1_500_000;
  private static final long ASKING_EVERY_MICROS = 20_000;
  private static final int MAX_ASKS = 8;

  /** A question that has waited for so long waits for a time limit, and costs nothing meanwhile. */
  private static final long SLOW_ASK_MICROS = 200_000;

  private static final int MAX_SLOW_ASKS = 128;
  private static final long UNREACHED_MICROS = 6_000_000;
  private static final long KILL_AGAIN_MICROS = 300_000;
  private static final long ASK_AFTER_LAUNCH_MICROS = 500_000;
  private static final long ASK_AFTER_SILENCE_MICROS = 300_000;

  private final Settings settings;
  private final EffectSink sink;
  private final EventTime time;
  private final Leadership leadership;
  private final Standby standby;
  private final AvailableMachines availableMachines;
  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
  private final long term;

  /** Machines with something to send, and those whose report waits for its answer. */
  private final Set<Machine> toSend = new LinkedHashSet<>();

  private final Set<Machine> toAnswer = new LinkedHashSet<>();

  /** Machines that are being asked, and since when, the one asked longest ago first. */
  private final Map<Machine, Long> asks = new LinkedHashMap<>();

  private int youngAsks;
  private long nextAskingMicros;
  private boolean closed;
  private FailoverTimeline failover;
  private ReplyHandler replies = (machine, report, settles) -> {};

  CommandDispatcher(
      Settings settings,
      EffectSink sink,
      EventTime time,
      Leadership leadership,
      Standby standby,
      AvailableMachines availableMachines,
      WorkerRegistry registry,
      AttemptTracker tracker,
      long term) {
    this.settings = settings;
    this.sink = sink;
    this.time = time;
    this.leadership = leadership;
    this.standby = standby;
    this.availableMachines = availableMachines;
    this.registry = registry;
    this.tracker = tracker;
    this.term = term;
    tracker.planned(toSend::add);
  }

  /** Who takes what machines show in their replies. */
  void replies(ReplyHandler handler) {
    replies = handler;
  }

  /** Who follows when the first launch leaves. */
  void follow(FailoverTimeline timeline) {
    failover = timeline;
  }

  /** A report waits for its answer; the one that waited before is given up. */
  void toAnswer(Machine machine, long sequence, long exchange) {
    refuse(machine.pendingHeartbeat().become(sequence, exchange), "a newer report is here");
    toAnswer.add(machine);
  }

  /** The machine has begun a new session: nobody reads an answer to a report of the one before. */
  void newIncarnation(Machine machine) {
    refuse(machine.pendingHeartbeat().newIncarnation(), "report of an earlier session");
    toAnswer.remove(machine);
  }

  /** The answer that a machine's report waits for will show it our token: asking can wait. */
  void tellsItself(Machine machine) {
    machine.commands().scheduleProbe(time.nowMicros() + ASK_AGAIN_MICROS);
  }

  /** Nothing is to be sent to a machine that is gone. */
  void forget(Machine machine) {
    toSend.remove(machine);
  }

  /** Asks machines that are not heard yet, or whose fence was raised. */
  void askDue() {
    long now = time.nowMicros();
    if (now < nextAskingMicros
        || registry.unconfirmed().isEmpty()
            && registry.fencing().isEmpty()
            && registry.recovered().isEmpty()) {
      return;
    }
    nextAskingMicros = now + ASKING_EVERY_MICROS;
    youngAsks = 0;
    for (long since : asks.values()) {
      youngAsks += now < since + SLOW_ASK_MICROS ? 1 : 0;
    }
    registry.fencing().forEach(this::askIfDue);
    registry.unconfirmed().forEach(this::askIfDue);
    registry.recovered().forEach(this::askIfDue);
  }

  /**
   * Reports that were still to be answered go elsewhere: this node may not renew their leases any
   * more.
   */
  void close() {
    closed = true;
    for (Machine machine : toAnswer) {
      sink.respond(machine.pendingHeartbeat().answered(), new Answer.Redirect(null));
    }
    toAnswer.clear();
  }

  void refuse(long exchange, String why) {
    if (exchange != 0) {
      sink.respond(exchange, new Answer.Failure(503, why, 0));
    }
  }

  /** Whether reports wait for their answers. */
  boolean hasPendingAnswers() {
    return !toAnswer.isEmpty();
  }

  /** A machine has something to be told to stop. */
  void killSoon(Machine machine) {
    machine.commands().requestKills();
    toSend.add(machine);
  }

  /**
   * Only so many at once: a burst of hundreds would hold up the lease's renewal and the users.
   * Those that wait for their time limit do not count: seen during a zone's cut, 260 machines that
   * nobody reached kept the others from being asked, and half of all were heard 4.8 s after the
   * election instead of 1 s.
   */
  private void askIfDue(Machine machine) {
    if (youngAsks < MAX_ASKS
        && asks.size() < MAX_SLOW_ASKS
        && !machine.commands().isInFlight()
        && time.nowMicros() >= machine.commands().nextProbeMicros()) {
      ask(machine);
    }
  }

  /**
   * Shows our token with no orders: that fences older commands and reports at once. Most machines
   * are in their first session; one that is not says so in its refusal, and is asked again with
   * what it said.
   */
  private void ask(Machine machine) {
    if (machine.address() == null || !leadership.mayLaunch(time.nowMicros())) {
      return;
    }
    machine.commands().scheduleProbe(time.nowMicros() + ASK_AGAIN_MICROS);
    youngAsks++;
    asks.put(machine, time.nowMicros());
    machine.commands().begin();
    call(
        machine,
        new Request.WorkerCommands(
            machine.address(),
            machine.fencingToken(),
            Math.max(1, machine.incarnation()),
            List.of()),
        List.of(),
        () -> asks.remove(machine));
  }

  private List<Order> killsFor(Machine machine) {
    List<Order> kills = new ArrayList<>();
    for (Attempt attempt : machine.attempts()) {
      if (attempt.mayBeOnMachine() && (!attempt.job().open() || attempt.isStopRequested())) {
        kills.add(
            new Order.Kill(
                attempt.task(),
                attempt.number(),
                attempt.job().open() ? attempt.spec().saveMicros() : 0));
      }
    }
    kills.addAll(machine.untrackedTasks());
    return kills;
  }

  /**
   * Tells each machine what was decided: in the answer to its report, else by one command at a
   * time.
   */
  void flush() {
    boolean mayLaunch = leadership.mayLaunch(time.nowMicros()) && standby.admitsLaunches();
    boolean mayKill = leadership.mayKill(time.nowMicros());
    for (Machine machine : toAnswer) {
      answer(machine, mayLaunch);
    }
    toAnswer.clear();
    for (Machine machine : new ArrayList<>(toSend)) {
      if (machine.plannedLaunches().isEmpty() && !machine.commands().areKillsPending()) {
        toSend.remove(machine);
      } else if (!comesThroughPeer(machine)) {
        if (mayKill && machine.commands().areKillsPending() && mayBeKilledOn(machine)) {
          sendKills(machine);
        }
        if (mayLaunch
            && !machine.plannedLaunches().isEmpty()
            && !machine.commands().isInFlight()
            && machine.known()
            && time.nowMicros() >= machine.holdUntilMicros()) {
          sendLaunches(machine);
        }
      }
    }
  }

  /**
   * Kills wait for nothing else that is on its way to the machine: not for a launch or a question
   * without an answer, which may take its whole time limit, nor for the pause after one. A kill may
   * be repeated, and may come before or after anything.
   */
  private boolean mayBeKilledOn(Machine machine) {
    boolean sessionKnown = machine.phase() == Machine.Phase.FENCING || machine.known();
    return sessionKnown
        && !machine.commands().isKillInFlight()
        && time.nowMicros() >= machine.commands().nextKillMicros();
  }

  /**
   * This node may not reach a machine whose reports a peer passes on. Seen with a leader cut from
   * its workers: each command ran into its time limit, and the fence raised for it kept the machine
   * from work. Its next report is soon here.
   */
  private boolean comesThroughPeer(Machine machine) {
    return machine.isRelayed()
        && time.nowMicros() < machine.lastContactMicros() + settings.reportMicros() * 2;
  }

  private void answer(Machine machine, boolean mayLaunch) {
    List<Order> orders = killsFor(machine);
    orders.addAll(machine.acknowledgements());
    List<Attempt> launches =
        mayLaunch && machine.phase() == Machine.Phase.CONFIRMED
            ? launch(machine, machine.pendingHeartbeat().sequence())
            : List.of();
    registry.answered(machine);
    machine.commands().clearKills();
    long exchange = machine.pendingHeartbeat().answered();
    FencingToken fencingToken = machine.fencingToken();
    if (launches.isEmpty()) {
      respond(exchange, fencingToken, orders);
      return;
    }
    standby.launch(
        () -> {
          leaves();
          sink.respond(
              exchange,
              new Answer.Command(fencingToken, withLaunches(orders, launches)),
              leadership.bounds().launchEndMicros());
        },
        () -> {
          unlaunch(launches);
          respond(exchange, fencingToken, orders);
        });
  }

  /** Answers a report with what launches nothing. */
  private void respond(long exchange, FencingToken fencingToken, List<Order> orders) {
    if (closed) {
      sink.respond(exchange, new Answer.Redirect(null));
    } else {
      sink.respond(
          exchange,
          new Answer.Command(fencingToken, orders),
          leadership.bounds().answerEndMicros());
    }
  }

  private void sendLaunches(Machine machine) {
    List<Order> reaps = new ArrayList<>(machine.acknowledgements());
    List<Attempt> launches = launch(machine, Attempt.SENT_BY_COMMAND);
    FencingToken fencingToken = machine.fencingToken();
    long incarnation = machine.incarnation();
    machine.commands().begin();
    standby.launch(
        () -> {
          leaves();
          call(
              machine,
              new Request.WorkerCommands(
                  machine.address(), fencingToken, incarnation, withLaunches(reaps, launches)),
              launches,
              () -> {});
        },
        () -> {
          machine.commands().end();
          unlaunch(launches);
        });
  }

  private void sendKills(Machine machine) {
    machine.commands().clearKills();
    List<Order> kills = killsFor(machine);
    if (kills.isEmpty()) {
      return;
    }
    machine.commands().beginKill();
    sink.call(
        new Request.WorkerCommands(
            machine.address(), machine.fencingToken(), machine.incarnation(), kills),
        leadership.bounds().answerEndMicros(),
        reply -> {
          machine.commands().endKill();
          if (closed || machine.phase() == Machine.Phase.TERMINATED) {
            return;
          }
          // What it shows may have been written before a command that is still on its way arrives.
          if (!absorbReply(machine, reply, !machine.commands().isInFlight())) {
            machine.commands().delayKillsUntil(time.nowMicros() + KILL_AGAIN_MICROS);
            killSoon(machine);
          }
        });
  }

  /** Takes what is planned for a machine out of its list, to be sent time.nowMicros(). */
  private List<Attempt> launch(Machine machine, long sequence) {
    List<Attempt> launches = machine.takeLaunches();
    for (Attempt attempt : launches) {
      attempt.send(sequence);
      tracker.tell(attempt, true);
    }
    return launches;
  }

  /** What was to be launched has not left, and will not: it is planned as before. */
  private void unlaunch(List<Attempt> launches) {
    for (Attempt attempt : launches) {
      if (stillSent(attempt)) {
        attempt.plan();
        attempt.machine().planLaunch(attempt);
        toSend.add(attempt.machine());
      }
    }
  }

  private static boolean stillSent(Attempt attempt) {
    return attempt.phase() == Attempt.Phase.SENT
        && attempt.machine().attempt(attempt.task()) == attempt;
  }

  /**
   * A launch may wait for the standby: what was cancelled or given up meanwhile is not started any
   * more. The attempt of a cancelled job counts until the machine shows that it is not there, like
   * any other.
   */
  private static List<Order> withLaunches(List<Order> orders, List<Attempt> launches) {
    List<Order> all = new ArrayList<>(orders);
    for (Attempt attempt : launches) {
      if (attempt.job().open() && stillSent(attempt)) {
        all.add(new Order.Launch(attempt.task(), attempt.number()));
      }
    }
    return all;
  }

  /** A launch leaves, after all that it had to wait for. */
  private void leaves() {
    if (failover != null) {
      failover.taskLaunched(time.nowMicros());
    }
  }

  /** Takes the report that is the reply of a command; false when there is none. */
  private boolean absorbReply(Machine machine, Reply reply, boolean settles) {
    if (!(reply instanceof Reply.Report answer)
        || !answer.report().machine().equals(machine.id())) {
      return false;
    }
    if (answer.report().fencingToken().term() > term) {
      leadership.deposed(
          "machine " + machine.id() + " has seen token " + answer.report().fencingToken());
      return true;
    }
    replies.replied(machine, answer.report(), settles);
    if (!answer.executed()) {
      machine.commands().scheduleProbe(time.nowMicros());
    }
    return true;
  }

  private void call(Machine machine, Request request, List<Attempt> launches, Runnable over) {
    LeadershipBounds bounds = leadership.bounds();
    sink.call(
        request,
        launches.isEmpty() ? bounds.answerEndMicros() : bounds.launchEndMicros(),
        reply -> {
          machine.commands().end();
          over.run();
          if (closed || machine.phase() == Machine.Phase.TERMINATED) {
            return;
          }
          if (launches.stream().anyMatch(attempt -> !attempt.job().open())) {
            // A kill that was sent meanwhile may have come before the launch.
            killSoon(machine);
          }
          if (!absorbReply(machine, reply, true)) {
            unanswered(machine, !launches.isEmpty(), reply);
          }
        });
  }

  /**
   * The command may still arrive, minutes later: kill it with a higher token before anything is
   * concluded.
   */
  private void unanswered(Machine machine, boolean launched, Reply reply) {
    if (launched
        && (machine.phase() == Machine.Phase.CONFIRMED
            || machine.phase() == Machine.Phase.RECOVERED)) {
      machine.raiseFence();
      availableMachines.remove(machine);
      // It may be out of this node's reach while its reports still come, relayed: no more launches
      // for a while.
      machine.holdUntil(time.nowMicros() + UNREACHED_MICROS);
    }
    if (launched && machine.phase() == Machine.Phase.CONFIRMED) {
      sink.info(
          "no answer from "
              + machine.id()
              + " to a command: raising its fence, term="
              + term
              + ": "
              + reply);
      registry.become(machine, Machine.Phase.FENCING);
    }
    machine
        .commands()
        .scheduleProbe(
            Math.max(
                machine.commands().nextProbeMicros(),
                time.nowMicros()
                    + (launched ? ASK_AFTER_LAUNCH_MICROS : ASK_AFTER_SILENCE_MICROS)));
  }
}
