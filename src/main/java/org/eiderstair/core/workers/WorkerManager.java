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
 * Manages the machines of one leader term and the attempts on them. Other packages use this package
 * mainly through this type.
 *
 * <ul>
 *   <li>{@link WorkerRegistry} holds the machines, and {@link AttemptTracker} their attempts.
 *   <li>{@link HeartbeatHandler}, {@link TaskReconciler}, {@link FailureAccounting} and {@link
 *       LeaseMonitor} evaluate heartbeats and their absence.
 *   <li>{@link HeartbeatResponder}, {@link CommandSender} and {@link WorkerProber} send answers and
 *       commands to the machines.
 *   <li>{@link OrderLog} counts and logs what the machines are told.
 *   <li>{@link WorkerRecovery} transfers the state at a failover.
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
  private final OrderLog orderLog;
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
    orderLog = new OrderLog(context);
    launchReplication = new LaunchReplication(context, tracker, commandQueue);
    responder = new HeartbeatResponder(context, registry, launchReplication, orderLog);
    commandClient =
        new WorkerCommandClient(context, registry, availableMachines, commandQueue, orderLog);
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
            availableMachines,
            responder,
            prober,
            reachability,
            new TaskReconciler(context, replica, stateWriter, tracker, failures),
            drain);
    commandClient.setReplyHandler(heartbeatHandler::receiveReply);
  }

  /** Returns the monitor that judges whether the machines can reach this leader. */
  public WorkerReachability reachability() {
    return reachability;
  }

  /** Returns the orders of this term by kind, for the leader's log line. */
  public String summary() {
    return orderLog.summary();
  }

  /** Returns a read-only view of the machines by name. */
  public Map<String, Machine> machines() {
    return registry.machines();
  }

  /**
   * Returns a read-only view of the machines that may run tasks of earlier terms. A heartbeat with
   * the current fencing token confirms their tasks.
   */
  public Set<Machine> unconfirmed() {
    return registry.unconfirmed();
  }

  /** Returns a read-only view of the machines that attempts may be queued for. */
  public List<Machine> queueable() {
    return registry.queueable();
  }

  /**
   * Returns a read-only view of the machines with queued attempts whose free resources may have
   * grown since {@link #clearQueuesToServe}.
   */
  public Set<Machine> queuesToServe() {
    return tracker.queuesToServe();
  }

  /** Clears the set of queues to serve, after all of them have been served. */
  public void clearQueuesToServe() {
    tracker.clearQueuesToServe();
  }

  /**
   * Returns whether a machine was terminated in this term. Neither a delayed heartbeat nor a stale
   * machine list of the cloud may add the machine again.
   */
  public boolean isTerminated(String id) {
    return registry.isTerminated(id);
  }

  /** Returns whether a change since the last clear may allow a task to be placed. */
  public boolean isPlacementRequested() {
    return tracker.isPlacementRequested();
  }

  /** Requests a placement pass, because a change may allow a task to be placed. */
  public void requestPlacement() {
    tracker.requestPlacement();
  }

  /** Clears the request for a placement pass. */
  public void clearPlacementRequest() {
    tracker.clearPlacementRequest();
  }

  /** Sets the listener that is called when the first task of a job is placed. */
  public void setJobStartedListener(Consumer<Job> listener) {
    tracker.setJobStartedListener(listener);
  }

  /**
   * Sets the predicate that tells whether this or an earlier term is releasing a machine. No task
   * is placed on such a machine.
   */
  public void setReleasingPredicate(Predicate<String> predicate) {
    registry.setReleasingPredicate(predicate);
  }

  /** Adds a machine. */
  public void add(Machine machine) {
    registry.add(machine);
  }

  /** Adds a booting machine that was rented or discovered and has no attempts yet. */
  public Machine addBooting(String id, String address, String type, String zone, boolean spot) {
    return registry.addBooting(id, address, type, zone, spot);
  }

  /** Returns a new attempt number, which is unique across all terms. */
  public long nextAttempt() {
    return tracker.nextAttempt();
  }

  /** Adds an attempt to its machine and job. */
  public void attach(Attempt attempt) {
    tracker.attach(attempt);
  }

  /** Reserves the resources of a queued attempt and plans its launch. */
  public void reserveResources(Attempt attempt) {
    tracker.reserveResources(attempt);
  }

  /** Removes an attempt from its machine and job. */
  public void remove(Attempt attempt) {
    tracker.remove(attempt);
  }

  /** Drains a machine: it gets no new work, while its running tasks continue. */
  public void drain(Machine machine) {
    drain.drain(machine);
  }

  /** Schedules the kill orders of the machine for the next {@link #flush}. */
  public void scheduleKills(Machine machine) {
    commandQueue.scheduleKills(machine);
  }

  /** Returns whether any heartbeat waits for its answer. */
  public boolean hasPendingAnswers() {
    return responder.hasPending();
  }

  /** Ends the term: redirects pending heartbeats and ignores later replies to commands. */
  public void close() {
    commandClient.close();
    responder.close();
  }

  /**
   * Processes a worker's heartbeat and queues it for an answer in the next pass.
   *
   * @param exchange the exchange that the heartbeat is answered on
   * @param relayed whether a peer relayed the heartbeat
   */
  public void receive(long exchange, Heartbeat heartbeat, boolean relayed, long nowMicros) {
    time.advanceTo(nowMicros);
    heartbeatHandler.receive(exchange, heartbeat, relayed);
  }

  /** Sends the decided orders to the machines, in the answers to heartbeats or else by command. */
  public void flush(long nowMicros) {
    time.advanceTo(nowMicros);
    boolean mayLaunch =
        context.leadership().mayLaunch(nowMicros) && context.standby().admitsLaunches();
    boolean mayKill = context.leadership().mayKill(nowMicros);
    responder.answerPending(mayLaunch);
    commandSender.sendDue(mayLaunch, mayKill);
  }

  /**
   * Starts the term after an election: adds the registered machines with the attempts that may be
   * on them.
   *
   * @param electedMicros the time of this node's election
   * @param replicated the machines replicated to this node as the standby of the previous term, by
   *     name; empty unless the replica is known to be complete
   */
  public void takeOver(
      long electedMicros, Optional<Map<String, RecoveredMachine>> replicated, long nowMicros) {
    time.advanceTo(nowMicros);
    tookOverMicros = nowMicros;
    reachability.recordTakeover();
    recovery.recover(replicated);
    FailoverTimeline failover = new FailoverTimeline(context.sink(), context.term(), electedMicros);
    registry.setFailoverTimeline(failover);
    launchReplication.setFailoverTimeline(failover);
    failover.replicaCaughtUp(registry.unconfirmedCount(), replicated.isPresent(), nowMicros);
  }

  /** Passes the state of all machines that a standby must hold to the consumer. */
  public void snapshot(Consumer<ReplicationBatch.Change> consumer) {
    recovery.snapshot(consumer);
  }

  /** Updates types and free resources of all machines after a change of the catalog. */
  public void catalogChanged() {
    for (Machine machine : registry.machines().values()) {
      registry.resolveType(machine);
      machine.recomputeFreeResources();
      registry.updateQueueable(machine);
    }
    tracker.requestPlacement();
  }

  /**
   * Cancels the planned termination of a machine. The caller has removed the machine from the
   * stored release, and no deletion request for it can arrive any more.
   */
  public void cancelTermination(String id) {
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
    tracker.requestPlacement();
  }

  /** Removes a machine, and frees its attempts, after the platform confirmed its termination. */
  public void markTerminated(String id) {
    Machine machine = registry.remove(id);
    stateWriter.unregister(id);
    if (machine != null) {
      availableMachines.remove(machine);
      tracker.freeAll(machine, "machine terminated");
      commandQueue.remove(machine);
      context.standby().replicate(new ReplicationBatch.Change(false, id, 0, "", 0, 0));
    }
    tracker.requestPlacement();
  }

  /** Marks a machine's registration as durable. */
  public void markRegistered(String id) {
    Machine machine = registry.machines().get(id);
    if (machine != null) {
      machine.markRegistered();
      registry.updateQueueable(machine);
      tracker.requestPlacement();
    }
  }

  /**
   * Expires leases and probes machines that are not confirmed.
   *
   * @param passLate whether the pass is late, so that heartbeats wait. In that case no probes are
   *     sent shortly after a failover: a heartbeat contains as much as a reply to a probe, at no
   *     higher cost.
   */
  public void tick(long nowMicros, boolean passLate) {
    time.advanceTo(nowMicros);
    leaseMonitor.expireDue();
    boolean heartbeatsSuffice =
        passLate && nowMicros < tookOverMicros + settings.workerTimings().heartbeatMicros();
    if (!heartbeatsSuffice) {
      prober.probeDue();
    }
  }

  /**
   * Handles the end of a job: removes its unsent attempts at once and schedules kills for those
   * that may be on machines.
   */
  public void jobEnded(Job job) {
    for (Attempt attempt : new ArrayList<>(job.attempts())) {
      if (attempt.mayBeOnMachine()) {
        commandQueue.scheduleKills(attempt.machine());
      } else {
        tracker.remove(attempt);
      }
    }
    tracker.requestPlacement();
  }
}
