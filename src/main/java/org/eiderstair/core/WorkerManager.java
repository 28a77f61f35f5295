package org.eiderstair.core;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eiderstair.core.standby.ReplicationBatch;
import org.eiderstair.core.standby.Standby;

/**
 * The machines of one term and what may be on them: the type to enter by. {@link WorkerRegistry}
 * knows the machines, {@link AttemptTracker} what may be on them, {@link ReportHandler} reads what
 * they show, {@link CommandDispatcher} tells them what was decided.
 */
final class WorkerManager {
  private static final long LEASE_MARGIN_MICROS = 1_500_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final StateWriter stateWriter;
  private final TokenList tokens;
  private final Standby standby;
  private final long term;
  private final LeaderTime time = new LeaderTime();
  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
  private final CommandDispatcher dispatcher;
  private final ReachMonitor reach;
  private final ReportHandler reports;
  private long takenOverMicros;

  WorkerManager(
      Settings settings,
      EffectSink sink,
      Replica replica,
      Leadership leadership,
      StateWriter stateWriter,
      TokenList tokens,
      Teams teams,
      Standby standby,
      long term) {
    this.standby = standby;
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.stateWriter = stateWriter;
    this.tokens = tokens;
    this.term = term;
    registry = new WorkerRegistry(replica, time, term);
    tracker = new AttemptTracker(sink, time, tokens, teams, standby, term);
    dispatcher =
        new CommandDispatcher(
            settings, sink, time, leadership, standby, tokens, registry, tracker, term);
    reach = new ReachMonitor(settings, time, registry);
    reports =
        new ReportHandler(
            sink,
            time,
            replica,
            leadership,
            stateWriter,
            tokens,
            standby,
            registry,
            tracker,
            dispatcher,
            reach,
            term);
  }

  /** Whether the machines reach this leader. */
  ReachMonitor reach() {
    return reach;
  }

  /** The machines by name. */
  Map<String, Machine> machines() {
    return registry.machines();
  }

  /** Machines that may hold work of earlier terms, since they have not been heard. */
  Set<Machine> unconfirmed() {
    return registry.unconfirmed();
  }

  /** Machines that may be given waiting attempts. */
  List<Machine> queueable() {
    return registry.queueable();
  }

  /** Machines with waiting attempts that may have got room. */
  Set<Machine> toServe() {
    return tracker.toServe();
  }

  /** Deleted by this term: a late report or list must not bring one back. */
  boolean isGone(String id) {
    return registry.isGone(id);
  }

  /** Whether something changed that may let a task be placed. */
  boolean changed() {
    return tracker.changed();
  }

  void noteChange() {
    tracker.noteChange();
  }

  /** From now on only what changes later counts. */
  void clearChange() {
    tracker.clearChange();
  }

  /** Who is to be told when the first task of a job is placed. */
  void begun(Consumer<Job> told) {
    tracker.begun(told);
  }

  /** What is marked as leaving, also by an earlier term: nothing may be placed on it. */
  void leaving(Predicate<String> marked) {
    registry.leaving(marked);
  }

  void add(Machine m) {
    registry.add(m);
  }

  /** A machine is rented, or was found: it holds nothing yet. */
  Machine expect(String id, String address, String type, String zone, boolean spot) {
    return registry.expect(id, address, type, zone, spot);
  }

  long nextAttempt() {
    return tracker.nextAttempt();
  }

  void attach(Attempt a) {
    tracker.attach(a);
  }

  void occupy(Attempt a) {
    tracker.occupy(a);
  }

  void remove(Attempt a) {
    tracker.remove(a);
  }

  void drain(Machine m) {
    reports.drain(m);
  }

  void killSoon(Machine m) {
    dispatcher.killSoon(m);
  }

  /** Whether reports wait for their answers. */
  boolean owesAnswers() {
    return dispatcher.owesAnswers();
  }

  void close() {
    dispatcher.close();
  }

  /** A worker's report; its answer is decided in the next pass. */
  void reported(long exchange, MachineReport report, boolean relayed, long nowMicros) {
    time.at(nowMicros);
    reports.reported(exchange, report, relayed);
  }

  /** Tells the machines what was decided. */
  void flush(long nowMicros) {
    time.at(nowMicros);
    dispatcher.flush();
  }

  /**
   * Take-over: everything rostered may hold work of earlier terms until it has been heard, but no
   * more than what the picture shows where there is one. A machine that it does not show holds
   * nothing.
   */
  void takeOver(long electedMicros, Map<String, Standby.Held> picture, long nowMicros) {
    time.at(nowMicros);
    takenOverMicros = nowMicros;
    reach.begin();
    FailoverTimeline failover = new FailoverTimeline(sink, term, electedMicros);
    for (Replica.RosterEntry entry : replica.roster.values()) {
      Machine.Phase phase = picture == null ? Machine.Phase.UNCONFIRMED : Machine.Phase.RECOVERED;
      Machine m = new Machine(entry.machine(), term, phase, nowMicros);
      registry.describe(m, entry.address(), entry.type(), entry.zone(), entry.spot());
      m.rostered = true;
      registry.add(m);
      if (picture != null && picture.containsKey(m.id)) {
        inherit(m, picture.get(m.id));
      }
    }
    registry.follow(failover);
    dispatcher.follow(failover);
    failover.caughtUp(registry.notHeard(), picture != null, nowMicros);
  }

  private void inherit(Machine m, Standby.Held held) {
    m.session = held.session();
    held.attempts()
        .forEach(
            (id, tasks) ->
                tasks.forEach(
                    (index, number) -> {
                      Job job = replica.jobs.get(id);
                      // What is durably done or over without a description can only be stopped,
                      // once it is shown.
                      if (job != null
                          && job.spec() != null
                          && index < job.tasks()
                          && !job.done.get(index)
                          && !job.active.containsKey(index)) {
                        tracker.attach(
                            new Attempt(
                                job, index, number, m, Attempt.Phase.SEEN, time.nowMicros()));
                      }
                    }));
    m.measureRoom();
    registry.updateQueueable(m);
    tracker.roomChanged(m);
  }

  /** All that a standby must know of this leader's picture. */
  void snapshot(Consumer<ReplicationBatch.Change> each) {
    for (Machine m : registry.machines().values()) {
      if (m.session > 0) {
        each.accept(new ReplicationBatch.Change(true, m.id, m.session, "", 0, 0));
      }
      for (Attempt a : m.attempts.values()) {
        if (a.mayBeThere()) {
          each.accept(
              new ReplicationBatch.Change(true, m.id, m.session, a.job.id, a.index, a.number));
        }
      }
    }
  }

  void typesChanged() {
    for (Machine m : registry.machines().values()) {
      registry.resolveType(m);
      m.measureRoom();
      registry.updateQueueable(m);
    }
    tracker.noteChange();
  }

  /**
   * A machine that was to leave is kept: its mark is gone, and no request to delete it can arrive
   * any more.
   */
  void keep(String id) {
    Machine m = registry.machines().get(id);
    if (m != null && m.plan == Machine.Plan.DELETE) {
      m.plan = Machine.Plan.USE;
      m.condemned = false;
      if (!m.rostered && m.phase != Machine.Phase.BOOTING) {
        stateWriter.register(m);
      }
      registry.updateQueueable(m);
      m.measureRoom();
      tracker.roomChanged(m);
      tracker.noteChange();
    }
  }

  /** The cloud confirmed that the machine is gone, with everything on it. */
  void deleted(String id) {
    Machine m = registry.remove(id);
    stateWriter.strike(id);
    if (m != null) {
      tokens.remove(m);
      tracker.freeAll(m, "machine deleted");
      dispatcher.forget(m);
      standby.change(new ReplicationBatch.Change(false, id, 0, "", 0, 0));
    }
    tracker.noteChange();
  }

  void rostered(String id) {
    Machine m = registry.machines().get(id);
    if (m != null) {
      m.rostered = true;
      registry.updateQueueable(m);
      tracker.noteChange();
    }
  }

  /**
   * @param busy whether reports wait: each tells as much as an answer to a question, and costs no
   *     more
   */
  void tick(long nowMicros, boolean busy) {
    time.at(nowMicros);
    endLeases();
    boolean patient = busy && nowMicros < takenOverMicros + settings.reportMicros();
    if (!patient) {
      dispatcher.askDue();
    }
  }

  private void endLeases() {
    long lease = settings.leaseMicros() + settings.leaseMicros() / 1000 + LEASE_MARGIN_MICROS;
    Set<Machine> leased = registry.leased();
    while (!leased.isEmpty()) {
      Machine m = leased.iterator().next();
      if (time.nowMicros() <= m.answeredMicros + lease) {
        break;
      }
      sink.info("machine " + m.id + " has lost its lease, term=" + term);
      registry.become(m, Machine.Phase.LOST);
      tokens.remove(m);
      tracker.freeAll(m, "lease over");
    }
  }

  /** The job is over: what waits for room goes at once, what may be on machines is killed. */
  void jobOver(Job job) {
    for (Attempt a : new ArrayList<>(job.active.values())) {
      if (a.phase == Attempt.Phase.QUEUED || a.phase == Attempt.Phase.PLANNED) {
        tracker.remove(a);
      } else {
        dispatcher.killSoon(a.machine);
      }
    }
    tracker.noteChange();
  }
}
