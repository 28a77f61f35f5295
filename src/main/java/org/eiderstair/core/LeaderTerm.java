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
 * Everything that a leader does in one term. A new term starts with a new one: nothing is carried
 * over.
 */
final class LeaderTerm implements StateWriter.Listener {
  private static final long PASS_GAP_MICROS = 30_000;

  /** A pass costs the same for one event as for hundreds, so that fewer passes are less work. */
  private static final long OVERLOADED_PASS_GAP_MICROS = 200_000;

  /** Capacity can wait while heartbeats cannot: a comparison with the demand looks at the fleet. */
  private static final long OVERLOADED_CAPACITY_INTERVAL_MICROS = 4_000_000;

  private static final long QUIET_PASS_MICROS = 1_000_000;

  /** A scheduling pass that is late by so much shows that there is more to do than can be done. */
  private static final long LATE_PASS_MICROS = 60_000;

  private static final long SUMMARY_INTERVAL_MICROS = 10_000_000;
  private static final long REACHABILITY_INTERVAL_MICROS = 500_000;

  /** Fewer may be machines that have just come up, and went to any node. */
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

  /** Ends the term: what waits to be sent or written is withheld. */
  void close() {
    stateWriter.close();
    workers.close();
    // After the workers: launches that the standby withholds now see that the term is over.
    standby.endTerm();
    capacity.close();
  }

  /** A worker's heartbeat; it is answered in the next pass. */
  void heartbeatReceived(long exchange, Heartbeat heartbeat, boolean relayed, long nowMicros) {
    if (started) {
      workers.receive(exchange, heartbeat, relayed, nowMicros);
    } else {
      sink.respond(exchange, new Answer.Failure(503, "taking over", 0));
    }
  }

  /** A job was created or has changed in the replica. */
  void jobChanged(Job job) {
    if (!started) {
      return;
    }
    if (!job.isOpen()) {
      workers.jobEnded(job);
    }
    workers.noteChange();
  }

  /** Does what is due by now. */
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
    if (!overload.putsOffWork(now) || now >= nextOverloadedCapacityMicros) {
      nextOverloadedCapacityMicros = now + OVERLOADED_CAPACITY_INTERVAL_MICROS;
      capacity.tick(now);
    }
    if (now >= passDueMicros()) {
      runPass();
    }
    stateWriter.tick(now);
  }

  /**
   * What an earlier term wrote last must be in the replica, above all its registered workers and
   * its newest jobs.
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
    return now > passDueMicros() + LATE_PASS_MICROS;
  }

  private boolean resignIfMachinesAreSilent() {
    if (now < nextReachabilityCheckMicros) {
      return false;
    }
    nextReachabilityCheckMicros = now + REACHABILITY_INTERVAL_MICROS;
    if (!workers.reachability().isIsolated()) {
      return false;
    }
    leadership.resign("no heartbeats from most machines for a while");
    return true;
  }

  /**
   * The next leader receives their heartbeats: sooner than this node would otherwise resign, since
   * that waits for as long as machines may be dead.
   */
  private boolean resignIfMachinesReachPeersOnly() {
    boolean unreached = workers.reachability().isReachedByFew();
    membership.tick(unreached || capacity.hasMissingMachines(), now);
    int reachingPeers = unreached ? workers.reachability().countReachableByPeers(membership) : 0;
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
            + standby.summary());
  }

  /**
   * Begins with what this node holds as the standby of the last term, if all checks hold; else
   * every registered machine is asked.
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
   * The peers, those of other zones first: a zone that is cut off should not take the leader and
   * its standby at once.
   */
  private List<String> standbyCandidates() {
    Map<String, String> zones = settings.nodeZones();
    String own = zones.getOrDefault(settings.node(), "");
    return settings.peers().stream()
        .sorted(Comparator.comparing((String peer) -> own.equals(zones.get(peer))))
        .toList();
  }

  /**
   * When the next pass is to be made: soon after something changed, and now and then for what time
   * alone changes.
   */
  long passDueMicros() {
    if (!workers.hasChanged() && !workers.hasPendingAnswers()) {
      return lastPassMicros + QUIET_PASS_MICROS;
    }
    return lastPassMicros
        + (overload.putsOffWork(now) ? OVERLOADED_PASS_GAP_MICROS : PASS_GAP_MICROS);
  }

  /** Places what can be placed for all events at hand, and answers the machines. */
  private void runPass() {
    boolean placementDue = workers.hasChanged() || now >= lastPassMicros + QUIET_PASS_MICROS;
    lastPassMicros = now;
    if (placementDue && leadership.mayLaunch(now)) {
      workers.clearChange();
      placement.place(now, !overload.putsOffWork(now));
    }
    workers.flush(now);
    standby.tick(now);
  }

  @Override
  public void jobFinished(Job job) {
    workers.noteChange();
  }

  @Override
  public void workerRegistered(String machine) {
    workers.registered(machine);
    capacity.machineRegistered(machine);
  }
}
