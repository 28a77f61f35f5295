package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
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
 * The machines of one term and what may be on them: the one type through which other packages use
 * this one.
 *
 * <ul>
 *   <li>{@link WorkerRegistry}: the machines; {@link AttemptTracker}: what may be on them
 *   <li>{@link HeartbeatHandler}, {@link TaskReconciler}, {@link FailureAccounting}, {@link
 *       LeaseMonitor}: what heartbeats, or their absence, prove
 *   <li>{@link HeartbeatResponder}, {@link CommandSender}, {@link WorkerProber}: what machines are
 *       sent
 *   <li>{@link WorkerRecovery}: what a failover hands on
 * </ul>
 */
public final class WorkerManager {
  private final Settings settings;
  private final StateWriter stateWriter;
  private final AvailableMachines availableMachines;
  private final EventTime time = new EventTime();
  private final TermContext context;
  private final CommandQueue commandQueue = new CommandQueue();
  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
  private final LaunchReplication launchReplication;
  private final HeartbeatResponder responder;
  private final WorkerCommandClient commandClient;
  private final CommandSender commandSender;
  private final WorkerProber prober;
  private final MachineDrain drain;
  private final LeaseMonitor leaseMonitor;
  private final WorkerReachability reachability;
  private final WorkerRecovery recovery;
  private final HeartbeatHandler heartbeatHandler;
  private long tookOverMicros;

  public WorkerManager(
      Settings settings,
      EffectSink sink,
      Replica replica,
      Leadership leadership,
      StateWriter stateWriter,
      AvailableMachines availableMachines,
      TeamQuotas quotas,
      Standby standby,
      OverloadMonitor overload,
      long term) {
    this.settings = settings;
    this.stateWriter = stateWriter;
    this.availableMachines = availableMachines;
    context = new TermContext(settings, sink, time, leadership, standby, term);
    registry = new WorkerRegistry(replica, context);
    tracker = new AttemptTracker(context, availableMachines, quotas, commandQueue);
    launchReplication = new LaunchReplication(context, tracker, commandQueue);
    responder = new HeartbeatResponder(context, registry, launchReplication);
    commandClient = new WorkerCommandClient(context, registry, availableMachines, commandQueue);
    commandSender = new CommandSender(context, commandQueue, launchReplication, commandClient);
    prober = new WorkerProber(context, registry, commandClient);
    drain = new MachineDrain(registry, tracker, commandQueue);
    leaseMonitor = new LeaseMonitor(context, registry, tracker, availableMachines);
    reachability = new WorkerReachability(settings, time, registry, overload);
    recovery = new WorkerRecovery(context, replica, registry, tracker);
    FailureAccounting failures = new FailureAccounting(context, availableMachines, drain);
    heartbeatHandler =
        new HeartbeatHandler(
            context,
            stateWriter,
            registry,
            tracker,
            responder,
            prober,
            reachability,
            new TaskReconciler(context, replica, stateWriter, tracker, failures),
            drain);
    commandClient.onReply(heartbeatHandler::receiveReply);
  }

  /** Whether the machines reach this leader. */
  public WorkerReachability reachability() {
    return reachability;
  }

  /** The machines by name, for reading. */
  public Map<String, Machine> machines() {
    return registry.machines();
  }

  /** Machines that may hold work of earlier terms, until a heartbeat confirms what they hold. */
  public Set<Machine> unconfirmed() {
    return registry.unconfirmed();
  }

  /** Machines that may be given waiting attempts. */
  public List<Machine> queueable() {
    return registry.queueable();
  }

  /** Machines with a queue that may have got free resources since the last pass. */
  public Set<Machine> queuesToServe() {
    return tracker.queuesToServe();
  }

  /** All queues have been served. */
  public void clearQueuesToServe() {
    tracker.clearQueuesToServe();
  }

  /**
   * Whether a machine was deleted in this term: a late heartbeat or list must not bring it back.
   */
  public boolean isTerminated(String id) {
    return registry.isTerminated(id);
  }

  /** Whether something changed that may let a task be placed. */
  public boolean hasChanged() {
    return tracker.hasChanged();
  }

  /** Something changed that may let a task be placed. */
  public void noteChange() {
    tracker.noteChange();
  }

  /** From now on only what changes later counts. */
  public void clearChange() {
    tracker.clearChange();
  }

  /** Sets who is called when the first task of a job is placed. */
  public void onJobStarted(Consumer<Job> listener) {
    tracker.onJobStarted(listener);
  }

  /**
   * Sets what tells whether a machine is being released, also by an earlier term: nothing is placed
   * on such a machine.
   */
  public void setReleasing(Predicate<String> predicate) {
    registry.setReleasing(predicate);
  }

  /** Adds a machine. */
  public void add(Machine machine) {
    registry.add(machine);
  }

  /** Adds a machine that is rented or was found; it holds nothing yet. */
  public Machine expect(String id, String address, String type, String zone, boolean spot) {
    return registry.expect(id, address, type, zone, spot);
  }

  /** A new attempt number; never used before, in any term. */
  public long nextAttempt() {
    return tracker.nextAttempt();
  }

  /** Places an attempt on its machine. */
  public void attach(Attempt attempt) {
    tracker.attach(attempt);
  }

  /** Reserves the resources of an attempt that waited for them. */
  public void occupy(Attempt attempt) {
    tracker.occupy(attempt);
  }

  /** Removes an attempt from its machine. */
  public void remove(Attempt attempt) {
    tracker.remove(attempt);
  }

  /** Gives the machine no new work. */
  public void drain(Machine machine) {
    drain.drain(machine);
  }

  /** Sends the machine's kills with the next flush. */
  public void scheduleKills(Machine machine) {
    commandQueue.scheduleKills(machine);
  }

  /** Whether heartbeats wait for their answers. */
  public boolean hasPendingAnswers() {
    return responder.hasPending();
  }

  /** The term is over: nothing is answered or sent any more. */
  public void close() {
    commandClient.close();
    responder.close();
  }

  /**
   * Takes a worker's heartbeat; its answer is decided in the next pass.
   *
   * @param exchange where its answer goes
   * @param relayed whether it came through a peer
   */
  public void receive(long exchange, Heartbeat heartbeat, boolean relayed, long nowMicros) {
    time.advanceTo(nowMicros);
    heartbeatHandler.receive(exchange, heartbeat, relayed);
  }

  /** Sends the machines what was decided: in the answers to their heartbeats, else by command. */
  public void flush(long nowMicros) {
    time.advanceTo(nowMicros);
    boolean mayLaunch =
        context.leadership().mayLaunch(nowMicros) && context.standby().admitsLaunches();
    boolean mayKill = context.leadership().mayKill(nowMicros);
    responder.answerPending(mayLaunch);
    commandSender.sendDue(mayLaunch, mayKill);
  }

  /**
   * Failover: the registered machines become known, each with what may be on it.
   *
   * @param electedMicros when this node was elected
   * @param replicated what was replicated to this node as the standby of the term before; empty if
   *     that is not known to be complete
   */
  public void takeOver(
      long electedMicros, Optional<Map<String, RecoveredMachine>> replicated, long nowMicros) {
    time.advanceTo(nowMicros);
    tookOverMicros = nowMicros;
    reachability.begin();
    recovery.recover(replicated);
    FailoverTimeline failover = new FailoverTimeline(context.sink(), context.term(), electedMicros);
    registry.recordIn(failover);
    launchReplication.recordIn(failover);
    failover.replicaCaughtUp(registry.unconfirmedCount(), replicated.isPresent(), nowMicros);
  }

  /** Gives out all that a standby must know of the machines. */
  public void snapshot(Consumer<ReplicationBatch.Change> consumer) {
    recovery.snapshot(consumer);
  }

  /** The catalogue has changed. */
  public void catalogChanged() {
    for (Machine machine : registry.machines().values()) {
      registry.resolveType(machine);
      machine.recomputeFreeResources();
      registry.updateQueueable(machine);
    }
    tracker.noteChange();
  }

  /**
   * A machine that was to be deleted is kept: its mark is removed, and no request to delete it can
   * arrive any more.
   */
  public void keep(String id) {
    Machine machine = registry.machines().get(id);
    if (machine == null || machine.plan() != Machine.Plan.TERMINATE) {
      return;
    }
    machine.reactivate();
    if (!machine.isRegistered() && machine.phase() != Machine.Phase.BOOTING) {
      stateWriter.register(machine);
    }
    registry.updateQueueable(machine);
    machine.recomputeFreeResources();
    tracker.freeResourcesChanged(machine);
    tracker.noteChange();
  }

  /** The platform confirmed that the machine is terminated, with everything on it. */
  public void terminated(String id) {
    Machine machine = registry.remove(id);
    stateWriter.unregister(id);
    if (machine != null) {
      availableMachines.remove(machine);
      tracker.freeAll(machine, "machine terminated");
      commandQueue.remove(machine);
      context.standby().replicate(new ReplicationBatch.Change(false, id, 0, "", 0, 0));
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
   * Expires leases and probes machines that are not confirmed.
   *
   * @param busy whether heartbeats wait: just after a failover each tells as much as the reply to a
   *     probe, and costs no more
   */
  public void tick(long nowMicros, boolean busy) {
    time.advanceTo(nowMicros);
    leaseMonitor.expireDue();
    boolean heartbeatsSuffice =
        busy && nowMicros < tookOverMicros + settings.workerTimings().heartbeatMicros();
    if (!heartbeatsSuffice) {
      prober.probeDue();
    }
  }

  /** A job has ended: what was not sent is freed at once, what may be on machines is killed. */
  public void jobEnded(Job job) {
    for (Attempt attempt : new ArrayList<>(job.attempts())) {
      if (attempt.mayBeOnMachine()) {
        commandQueue.scheduleKills(attempt.machine());
      } else {
        tracker.remove(attempt);
      }
    }
    tracker.noteChange();
  }
}
