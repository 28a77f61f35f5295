package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.eiderstair.core.leadership.FailoverTimeline;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.standby.RecoveredMachine;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;

/**
 * The machines of one term and what may be on them: the type to enter by. {@link WorkerRegistry}
 * knows the machines, {@link AttemptTracker} what may be on them, {@link HeartbeatHandler} reads
 * what they show, {@link CommandDispatcher} tells them what was decided.
 */
public final class WorkerManager {
  private static final long LEASE_MARGIN_MICROS = 1_500_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final StateWriter stateWriter;
  private final AvailableMachines availableMachines;
  private final Standby standby;
  private final long term;
  private final EventTime time = new EventTime();
  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
  private final CommandDispatcher dispatcher;
  private final WorkerReachability reach;
  private final HeartbeatHandler reports;
  private long takenOverMicros;

  public WorkerManager(
      Settings settings,
      EffectSink sink,
      Replica replica,
      Leadership leadership,
      StateWriter stateWriter,
      AvailableMachines availableMachines,
      TeamQuotas teams,
      Standby standby,
      long term) {
    this.standby = standby;
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.stateWriter = stateWriter;
    this.availableMachines = availableMachines;
    this.term = term;
    registry = new WorkerRegistry(replica, time, term);
    tracker = new AttemptTracker(sink, time, availableMachines, teams, standby, term);
    dispatcher =
        new CommandDispatcher(
            settings, sink, time, leadership, standby, availableMachines, registry, tracker, term);
    reach = new WorkerReachability(settings, time, registry);
    reports =
        new HeartbeatHandler(
            sink,
            time,
            replica,
            leadership,
            stateWriter,
            availableMachines,
            standby,
            registry,
            tracker,
            dispatcher,
            reach,
            term);
  }

  /** Whether the machines reach this leader. */
  public WorkerReachability reach() {
    return reach;
  }

  /** The machines by name. */
  public Map<String, Machine> machines() {
    return registry.machines();
  }

  /** Machines that may hold work of earlier terms, since they have not been heard. */
  public Set<Machine> unconfirmed() {
    return registry.unconfirmed();
  }

  /** Machines that may be given waiting attempts. */
  public List<Machine> queueable() {
    return registry.queueable();
  }

  /** Machines with waiting attempts that may have got room. */
  public Set<Machine> queuesToServe() {
    return tracker.queuesToServe();
  }

  /** Deleted by this term: a late report or list must not bring one back. */
  public boolean isTerminated(String id) {
    return registry.isTerminated(id);
  }

  /** Whether something changed that may let a task be placed. */
  public boolean changed() {
    return tracker.changed();
  }

  /** Something changed that may let a task be placed. */
  public void noteChange() {
    tracker.noteChange();
  }

  /** From now on only what changes later counts. */
  public void clearChange() {
    tracker.clearChange();
  }

  /** Who is to be told when the first task of a job is placed. */
  public void onJobStarted(Consumer<Job> listener) {
    tracker.onJobStarted(listener);
  }

  /** What is marked as leaving, also by an earlier term: nothing may be placed on it. */
  public void leaving(Predicate<String> marked) {
    registry.leaving(marked);
  }

  /** Adds a machine. */
  public void add(Machine machine) {
    registry.add(machine);
  }

  /** A machine is rented, or was found: it holds nothing yet. */
  public Machine expect(String id, String address, String type, String zone, boolean spot) {
    return registry.expect(id, address, type, zone, spot);
  }

  /** A new attempt number; never used before, in any term. */
  public long nextAttempt() {
    return tracker.nextAttempt();
  }

  /** Puts an attempt on its machine. */
  public void attach(Attempt attempt) {
    tracker.attach(attempt);
  }

  /** Takes room for an attempt that waited for it. */
  public void occupy(Attempt attempt) {
    tracker.occupy(attempt);
  }

  /** Takes an attempt off its machine. */
  public void remove(Attempt attempt) {
    tracker.remove(attempt);
  }

  /** Gives the machine no new work. */
  public void drain(Machine machine) {
    reports.drain(machine);
  }

  /** Sends the machine's kills with the next flush. */
  public void killSoon(Machine machine) {
    dispatcher.killSoon(machine);
  }

  /** Whether reports wait for their answers. */
  public boolean hasPendingAnswers() {
    return dispatcher.hasPendingAnswers();
  }

  /** The term is over: nothing is answered or sent any more. */
  public void close() {
    dispatcher.close();
  }

  /** A worker's report; its answer is decided in the next pass. */
  public void reported(long exchange, Heartbeat report, boolean relayed, long nowMicros) {
    time.at(nowMicros);
    reports.reported(exchange, report, relayed);
  }

  /** Tells the machines what was decided. */
  public void flush(long nowMicros) {
    time.at(nowMicros);
    dispatcher.flush();
  }

  /**
   * Take-over: everything rostered may hold work of earlier terms until it has been heard, but no
   * more than what the picture shows where there is one. A machine that it does not show holds
   * nothing.
   */
  public void takeOver(long electedMicros, Map<String, RecoveredMachine> picture, long nowMicros) {
    time.at(nowMicros);
    takenOverMicros = nowMicros;
    reach.begin();
    FailoverTimeline failover = new FailoverTimeline(sink, term, electedMicros);
    for (Replica.RegisteredWorker entry : replica.registeredWorkers()) {
      Machine.Phase phase = picture == null ? Machine.Phase.UNCONFIRMED : Machine.Phase.RECOVERED;
      Machine machine = new Machine(entry.machine(), term, phase, nowMicros);
      registry.describe(machine, entry.address(), entry.type(), entry.zone(), entry.spot());
      machine.markRegistered();
      registry.add(machine);
      if (picture != null && picture.containsKey(machine.id())) {
        inherit(machine, picture.get(machine.id()));
      }
    }
    registry.follow(failover);
    dispatcher.follow(failover);
    failover.replicaCaughtUp(registry.unconfirmedCount(), picture != null, nowMicros);
  }

  private void inherit(Machine machine, RecoveredMachine held) {
    machine.recoverIncarnation(held.incarnation());
    held.attempts()
        .forEach(
            (id, tasks) ->
                tasks.forEach(
                    (index, number) -> {
                      Job job = replica.job(id);
                      // What is durably done or over without a description can only be stopped,
                      // once it is shown.
                      if (job != null
                          && job.spec() != null
                          && index < job.tasks()
                          && !job.isCompleted(index)
                          && !job.isAttempted(index)) {
                        tracker.attach(
                            new Attempt(job, index, number, machine, Attempt.Phase.REPORTED));
                      }
                    }));
    machine.recomputeFreeResources();
    registry.updateQueueable(machine);
    tracker.roomChanged(machine);
  }

  /** All that a standby must know of this leader's picture. */
  public void snapshot(Consumer<ReplicationBatch.Change> each) {
    for (Machine machine : registry.machines().values()) {
      if (machine.incarnation() > 0) {
        each.accept(
            new ReplicationBatch.Change(true, machine.id(), machine.incarnation(), "", 0, 0));
      }
      for (Attempt attempt : machine.attempts()) {
        if (attempt.mayBeOnMachine()) {
          each.accept(
              new ReplicationBatch.Change(
                  true,
                  machine.id(),
                  machine.incarnation(),
                  attempt.job().id,
                  attempt.index(),
                  attempt.number()));
        }
      }
    }
  }

  /** The catalogue has changed. */
  public void typesChanged() {
    for (Machine machine : registry.machines().values()) {
      registry.resolveType(machine);
      machine.recomputeFreeResources();
      registry.updateQueueable(machine);
    }
    tracker.noteChange();
  }

  /**
   * A machine that was to leave is kept: its mark is gone, and no request to delete it can arrive
   * any more.
   */
  public void keep(String id) {
    Machine machine = registry.machines().get(id);
    if (machine != null && machine.plan() == Machine.Plan.TERMINATE) {
      machine.reactivate();
      if (!machine.isRegistered() && machine.phase() != Machine.Phase.BOOTING) {
        stateWriter.register(machine);
      }
      registry.updateQueueable(machine);
      machine.recomputeFreeResources();
      tracker.roomChanged(machine);
      tracker.noteChange();
    }
  }

  /** The cloud confirmed that the machine is gone, with everything on it. */
  public void deleted(String id) {
    Machine machine = registry.remove(id);
    stateWriter.unregister(id);
    if (machine != null) {
      availableMachines.remove(machine);
      tracker.freeAll(machine, "machine deleted");
      dispatcher.forget(machine);
      standby.replicate(new ReplicationBatch.Change(false, id, 0, "", 0, 0));
    }
    tracker.noteChange();
  }

  /** The worker's registration is durable. */
  public void registered(String id) {
    Machine machine = registry.machines().get(id);
    if (machine != null) {
      machine.markRegistered();
      registry.updateQueueable(machine);
      tracker.noteChange();
    }
  }

  /**
   * @param busy whether reports wait: each tells as much as an answer to a question, and costs no
   *     more
   */
  public void tick(long nowMicros, boolean busy) {
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
      Machine machine = leased.iterator().next();
      if (time.nowMicros() <= machine.answeredMicros() + lease) {
        break;
      }
      sink.info("machine " + machine.id() + " has lost its lease, term=" + term);
      registry.become(machine, Machine.Phase.LEASE_EXPIRED);
      availableMachines.remove(machine);
      tracker.freeAll(machine, "lease over");
    }
  }

  /** The job is over: what waits for room goes at once, what may be on machines is killed. */
  public void jobOver(Job job) {
    for (Attempt attempt : new ArrayList<>(job.attempts())) {
      if (attempt.phase() == Attempt.Phase.QUEUED || attempt.phase() == Attempt.Phase.PLANNED) {
        tracker.remove(attempt);
      } else {
        dispatcher.killSoon(attempt.machine());
      }
    }
    tracker.noteChange();
  }
}
