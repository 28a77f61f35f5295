package org.eiderstair.core;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.function.IntUnaryOperator;
import org.eiderstair.core.capacity.CapacityManager;
import org.eiderstair.core.capacity.Demand;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.placement.Placement;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;
import org.eiderstair.core.workers.AvailableMachines;
import org.eiderstair.core.workers.OverloadMonitor;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Performs the work of a leader during one term. Each term has a new instance, and no state is
 * carried over from one to the next.
 */
final class LeaderTerm implements StateWriter.Listener {
  /** The minimum time between two scheduling passes. */
  private static final long MIN_PASS_INTERVAL_MICROS = 30_000;

  /**
   * The minimum time between two scheduling passes while events wait for too long. A pass costs the
   * same for one event as for hundreds, so fewer passes reduce the load.
   */
  private static final long OVERLOADED_MIN_PASS_INTERVAL_MICROS = 200_000;

  /**
   * The time between two capacity decisions while events wait for too long. A decision compares the
   * demand with all machines, and heartbeats are more urgent.
   */
  private static final long OVERLOADED_CAPACITY_INTERVAL_MICROS = 4_000_000;

  /** The maximum time between two scheduling passes. */
  private static final long MAX_PASS_INTERVAL_MICROS = 1_000_000;

  /** A pass that is late by more than this shows that more work arrives than the node can do. */
  private static final long LATE_PASS_THRESHOLD_MICROS = 60_000;

  private static final long SUMMARY_INTERVAL_MICROS = 10_000_000;
  private static final long REACHABILITY_CHECK_INTERVAL_MICROS = 500_000;

  /** Fewer machines may have just started and contacted an arbitrary node. */
  private static final int MIN_MACHINES_REACHING_PEERS = 3;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final Leadership leadership;
  private final Membership membership;
  private final Standby standby;
  private final OverloadMonitor overload;
  private final long term;
  private final StateWriter stateWriter;
  private final WorkerManager workers;
  private final Placement placement;
  private final CapacityManager capacity;
  private boolean started;
  private OptionalLong electedMicros = OptionalLong.empty();
  private long nextReachabilityCheckMicros;
  private long nextOverloadedCapacityMicros;
  private long nextSummaryMicros;
  private long lastPassMicros = Long.MIN_VALUE / 2;
  private long now;

  LeaderTerm(
      Settings settings,
      EffectSink sink,
      Replica replica,
      Leadership leadership,
      Membership membership,
      Standby standby,
      OverloadMonitor overload,
      long term,
      IntUnaryOperator random) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.leadership = leadership;
    this.membership = membership;
    this.standby = standby;
    this.overload = overload;
    this.term = term;
    this.stateWriter = new StateWriter(settings, sink, replica, term, this);
    AvailableMachines availableMachines = new AvailableMachines(settings.tuning().tokenListSize());
    TeamQuotas quotas = new TeamQuotas(settings);
    this.workers =
        new WorkerManager(
            settings,
            sink,
            replica,
            leadership,
            stateWriter,
            availableMachines,
            quotas,
            standby,
            overload,
            term);
    Demand demand = new Demand(settings, replica);
    this.placement =
        new Placement(
            settings, sink, replica, workers, availableMachines, quotas, term, demand, random);
    this.capacity =
        new CapacityManager(
            settings, sink, replica, workers, leadership, stateWriter, demand, membership, term);
  }

  /** Ends the term. Pending orders and writes are withheld. */
  void close() {
    stateWriter.close();
    workers.close();
    // The workers are closed first: launches that the standby now withholds must find the term
    // ended.
    standby.endTerm();
    capacity.close();
  }

  /**
   * Handles a worker's heartbeat, which is answered in the next pass. Until the term has started,
   * the heartbeat is refused.
   *
   * @param relayed whether the heartbeat came through another node
   */
  void heartbeatReceived(long exchange, Heartbeat heartbeat, boolean relayed, long nowMicros) {
    if (started) {
      workers.receive(exchange, heartbeat, relayed, nowMicros);
    } else {
      sink.respond(exchange, new Answer.Failure(503, "taking over", 0));
    }
  }

  /** Handles the creation or change of a job in the replica. */
  void jobChanged(Job job) {
    if (!started) {
      return;
    }
    if (!job.isOpen()) {
      workers.jobEnded(job);
    }
    workers.requestPlacement();
  }

  /** Performs all work that is due. */
  void tick(long nowMicros) {
    now = nowMicros;
    if (electedMicros.isEmpty()) {
      electedMicros = OptionalLong.of(now);
    }
    if (!started && !startOnceSynchronized()) {
      return;
    }
    workers.tick(now, isPassLate());
    if (resignIfMachinesAreSilent() || resignIfMachinesReachPeersOnly()) {
      return;
    }
    logSummaryIfDue();
    standby.tick(now);
    if (!overload.defersWork(now) || now >= nextOverloadedCapacityMicros) {
      nextOverloadedCapacityMicros = now + OVERLOADED_CAPACITY_INTERVAL_MICROS;
      capacity.tick(now);
    }
    if (now >= passDueMicros()) {
      runPass();
    }
    stateWriter.tick(now);
  }

  /**
   * Starts the term once the replica has reached the election, and returns whether it did. The
   * replica must hold everything that earlier terms wrote, in particular the registered workers and
   * the newest jobs.
   */
  private boolean startOnceSynchronized() {
    if (replica.revision() < term) {
      return false;
    }
    started = true;
    replica.jobs().forEach(Job::resetToDurable);
    recoverState();
    capacity.takeOver(now);
    membership.startTerm(now);
    return true;
  }

  private boolean isPassLate() {
    return now > passDueMicros() + LATE_PASS_THRESHOLD_MICROS;
  }

  private boolean resignIfMachinesAreSilent() {
    if (now < nextReachabilityCheckMicros) {
      return false;
    }
    nextReachabilityCheckMicros = now + REACHABILITY_CHECK_INTERVAL_MICROS;
    if (!workers.reachability().isIsolated()) {
      return false;
    }
    leadership.resign("no recent heartbeats from most machines");
    return true;
  }

  /**
   * Resigns if hardly any machine reaches this node while peers receive heartbeats, so that the
   * next leader receives them. This check acts sooner than {@link #resignIfMachinesAreSilent},
   * which has to wait because the machines may be dead.
   */
  private boolean resignIfMachinesReachPeersOnly() {
    boolean reachedByFew = workers.reachability().hasFewDirectHeartbeats();
    membership.tick(reachedByFew || capacity.hasMissingMachines(), now);
    int reachingPeers = reachedByFew ? workers.reachability().countReachableByPeers(membership) : 0;
    if (reachingPeers < MIN_MACHINES_REACHING_PEERS) {
      return false;
    }
    leadership.resign(
        "no machine reaches this node while peers receive heartbeats of "
            + reachingPeers
            + " of them: "
            + membership.evidence());
    return true;
  }

  private void logSummaryIfDue() {
    if (now < nextSummaryMicros) {
      return;
    }
    nextSummaryMicros = now + SUMMARY_INTERVAL_MICROS;
    sink.info(
        "leading, term="
            + term
            + ": "
            + placement.summary(now)
            + "; "
            + capacity.summary()
            + "; standby "
            + standby.summary()
            + "; "
            + workers.summary());
  }

  /**
   * Recovers the state of the machines. If this node was the standby in sync of the previous term
   * and all checks pass, it uses the replicated state. Otherwise it asks every registered machine.
   */
  private void recoverState() {
    Replica.StoredStandby record = replica.standby();
    workers.takeOver(
        electedMicros.orElse(now),
        standby.recover(term, replica.revision(), record == null ? null : record.value()),
        now);
    if (record != null || settings.keepsStandby()) {
      standby.startTerm(
          new StandbyReplication(sink, replica, leadership, workers, term),
          term,
          settings.keepsStandby() ? standbyCandidates() : List.of(),
          record == null ? 0 : record.version());
    }
  }

  /**
   * Returns the peers, those in other zones first. The partition of one zone should not affect both
   * the leader and its standby.
   */
  private List<String> standbyCandidates() {
    Map<String, String> zones = settings.nodeZones();
    String ownZone = zones.getOrDefault(settings.node(), "");
    return settings.peers().stream()
        .sorted(Comparator.comparing((String peer) -> ownZone.equals(zones.get(peer))))
        .toList();
  }

  /**
   * Returns when the next scheduling pass is due. A pass follows soon after a change or heartbeat.
   * Without these, passes run at the maximum interval, because some decisions depend on time alone.
   */
  long passDueMicros() {
    if (!workers.isPlacementRequested() && !workers.hasPendingAnswers()) {
      return lastPassMicros + MAX_PASS_INTERVAL_MICROS;
    }
    return lastPassMicros
        + (overload.defersWork(now)
            ? OVERLOADED_MIN_PASS_INTERVAL_MICROS
            : MIN_PASS_INTERVAL_MICROS);
  }

  /** Places tasks once for all events since the last pass, and answers the machines. */
  private void runPass() {
    boolean placementDue =
        workers.isPlacementRequested() || now >= lastPassMicros + MAX_PASS_INTERVAL_MICROS;
    lastPassMicros = now;
    if (placementDue && leadership.mayLaunch(now)) {
      workers.clearPlacementRequest();
      placement.place(now, !overload.defersWork(now));
    }
    workers.flush(now);
    standby.tick(now);
  }

  @Override
  public void jobFinished(Job job) {
    workers.requestPlacement();
  }

  @Override
  public void workerRegistered(String machine) {
    workers.markRegistered(machine);
    capacity.machineRegistered(machine);
  }
}
