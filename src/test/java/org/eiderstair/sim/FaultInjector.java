package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.eiderstair.core.model.Heartbeat;

/** The faults of docs/fault-scenarios.md; each lasts for a while, so that several can overlap. */
final class FaultInjector {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long MIN_COMMAND_DELAY_MICROS = 2 * SECOND_MICROS;
  private static final int COMMAND_DELAY_JITTER_MICROS = 14_000_000;
  private static final int LONG_COMMAND_DELAY_JITTER_MICROS = 300_000_000;
  private static final long MIN_CLOUD_DELAY_MICROS = 3 * SECOND_MICROS;
  private static final int CLOUD_DELAY_JITTER_MICROS = 90_000_000;
  private static final int LATE_CLOUD_CHANGE_PERCENT = 25;
  private static final int MAX_RESTART_MICROS = 1_000_000;
  private static final long MIN_COPY_DELAY_MICROS = SECOND_MICROS / 10;
  private static final int COPY_DELAY_JITTER_MICROS = 60_000_000;
  private static final int DISTURBED_WRITE_PERCENT = 30;
  private static final int LEADER_CHANGE_COUNT = 5;

  /**
   * The kinds of faults. Random tests select them by ordinal, so a new kind is appended at the end.
   */
  enum Kind {
    /** Some transactions with writes are committed seconds later and not answered. */
    LATE_WRITES,
    /** Some transactions with writes are committed, but their answers are lost. */
    LOST_ANSWERS,
    /** Copies of some heartbeats arrive a second time, seconds later. */
    LATE_HEARTBEATS,
    /**
     * Copies of some heartbeats are held until the next election and then reach every controller.
     */
    HEARTBEATS_KEPT_FOR_NEXT_LEADER,
    /** Some machines receive nothing, while their heartbeats arrive. */
    INBOUND_LOST,
    /** The heartbeats of some machines are lost, while commands arrive. */
    OUTBOUND_LOST,
    /** The leader is partitioned from the state service and from the other controllers. */
    LEADER_PARTITIONED_FROM_STATE_AND_PEERS,
    /** Users cancel many running jobs at once. */
    CANCEL_NOW,
    /** Users cancel many running jobs at once, and some machines of these jobs hang. */
    CANCEL_NOW_WITH_HANG,
    /** Users cancel half of the jobs just as their last task completes. */
    CANCEL_ON_COMPLETION,
    /** Users repeat requests, send malformed ones and submit jobs that can never run. */
    INVALID_REQUESTS,
    /** Users poll all controllers as soon as one of them has answered. */
    IMMEDIATE_POLLS,
    /** The leader pauses between a decision and its effects. */
    LEADER_PAUSES,
    /** Some machines die, and new ones boot within two seconds. */
    QUICK_BOOTS,
    /** The state service refuses the leader and serves all other controllers. */
    LEADER_REFUSED_ALONE,
    /** The state service refuses everyone. */
    STATE_OUTAGE,
    /** The leader crashes and restarts after three seconds. */
    LEADER_CRASHES,
    /** All controllers crash and restart at different times. */
    ALL_CRASH,
    /** The leader crashes five times. */
    LEADER_CHANGES,
    /** One zone is partitioned from everything outside it. */
    ZONE_PARTITIONED,
    /** Some machines are partitioned from all controllers. */
    MACHINES_PARTITIONED,
    /** Some machines hang. */
    MACHINES_HANG,
    /** About 30% of all machines die. */
    MACHINES_DIE,
    /** The state service does not answer new watches of the leader. */
    WATCH_HANGS,
    /** Users submit four jobs with one task per second and cancel a quarter of them. */
    ONE_TASK_JOBS,
    /** Users submit jobs whose first task completes long before the others. */
    UNEVEN_JOBS,
    /** Users submit twice the work that all teams may run at a time. */
    OVERLOAD,
    /** Each request takes the state service up to a second longer. */
    SLOW_STATE,
    /** The heartbeats of all machines are lost, while commands arrive. */
    ALL_OUTBOUND_LOST,
    /** All controllers are down for longer than a worker lease. */
    ALL_DOWN_FOR_A_LEASE,
    /** Some commands and status requests reach workers seconds later and are not answered. */
    LATE_COMMANDS,
    /** The cloud refuses all requests. */
    CLOUD_OUTAGE,
    /** Copies of some commands that were executed and answered reach workers a second time. */
    DUPLICATE_COMMANDS,
    /** Some commands and status requests reach workers up to minutes later, unanswered. */
    VERY_LATE_COMMANDS,
    /** The cloud carries out some rentals and deletions up to minutes later, unanswered. */
    LATE_CLOUD_CHANGES,
    /** Some machines lose all tasks, and their workers go on counting within a second. */
    WORKERS_RESTART,
    /** Some machines are back within a second with new workers, whose numbers begin again. */
    WORKERS_BEGIN_AGAIN
  }

  /** The job class of jobs whose first task completes soon and whose other tasks take long. */
  static final String UNEVEN_JOB_CLASS = "far apart";

  private final SimulatedCluster cluster;
  private final DuplicateHeartbeats duplicateHeartbeats;
  private final UserLoad userLoad;
  private boolean quickBoots;
  private boolean slowState;
  private int lateCommandsPercent;
  private int commandDelayJitterMicros;
  private boolean lateCloudChanges;
  private int duplicateCommandsPercent;

  FaultInjector(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.duplicateHeartbeats = new DuplicateHeartbeats(cluster);
    this.userLoad = new UserLoad(cluster);
  }

  /** Starts a fault that lasts for about that long. */
  void start(Kind kind, long micros) {
    Outages outages = cluster.outages;
    long end = cluster.clock.now() + micros;
    cluster.trace(
        "fault " + kind + " for " + micros / SECOND_MICROS + " s, leader n" + cluster.leader());
    int leader = cluster.leader();
    switch (kind) {
      case LATE_WRITES -> disturbWrites(SimulatedStateService.TransactionOutcome.LATE, micros);
      case LOST_ANSWERS ->
          disturbWrites(SimulatedStateService.TransactionOutcome.ANSWER_LOST, micros);
      case LATE_HEARTBEATS -> duplicateHeartbeats.deliverLate(micros);
      case HEARTBEATS_KEPT_FOR_NEXT_LEADER -> duplicateHeartbeats.keepForNextLeader(micros);
      case INBOUND_LOST -> applyToSomeMachines(worker -> worker.loseInbound(micros));
      case OUTBOUND_LOST -> applyToSomeMachines(worker -> worker.loseOutbound(micros));
      case LEADER_PARTITIONED_FROM_STATE_AND_PEERS -> {
        outages.partitionNodeFromStateService(leader, micros);
        outages.partitionNodeFromPeers(leader, micros);
      }
      case CANCEL_NOW -> userLoad.cancelRunningJobs(0);
      case CANCEL_NOW_WITH_HANG -> userLoad.cancelRunningJobs(micros + 20 * SECOND_MICROS);
      case CANCEL_ON_COMPLETION -> userLoad.cancelOnCompletion(micros);
      case INVALID_REQUESTS -> userLoad.sendInvalidRequests(end);
      case IMMEDIATE_POLLS -> userLoad.pollImmediately(micros);
      case LEADER_PAUSES -> outages.pause(leader, 2 * SECOND_MICROS + micros / 3);
      case QUICK_BOOTS -> bootQuickly(micros);
      case LEADER_REFUSED_ALONE -> outages.stateServiceRefuses(leader, micros);
      case STATE_OUTAGE -> outages.stateServiceOutage(micros);
      case LEADER_CRASHES -> outages.crash(leader, 3 * SECOND_MICROS);
      case ALL_CRASH -> crashAll(SECOND_MICROS / 3, 20_000_000);
      case LEADER_CHANGES -> changeLeaders(micros);
      case ZONE_PARTITIONED ->
          outages.partitionZone(cluster.random.nextInt(3), micros + 10 * SECOND_MICROS);
      case MACHINES_PARTITIONED ->
          applyToSomeMachines(worker -> outages.partitionWorker(worker, micros));
      case MACHINES_HANG -> applyToSomeMachines(worker -> worker.hang(micros));
      case MACHINES_DIE -> cluster.cloud.killMachines(30);
      case WATCH_HANGS -> outages.watchHangs(leader, micros);
      case ONE_TASK_JOBS -> userLoad.submitOneTaskJobs(end);
      case UNEVEN_JOBS -> userLoad.submitUnevenJobs();
      case OVERLOAD -> userLoad.overload(micros);
      case SLOW_STATE -> slowDownState(micros);
      case ALL_OUTBOUND_LOST ->
          cluster.cloud.workers().forEach(worker -> worker.loseOutbound(micros));
      case CLOUD_OUTAGE -> cluster.cloud.outage(micros);
      case LATE_COMMANDS -> delayCommands(COMMAND_DELAY_JITTER_MICROS, micros);
      case VERY_LATE_COMMANDS -> delayCommands(LONG_COMMAND_DELAY_JITTER_MICROS, micros);
      case LATE_CLOUD_CHANGES -> delayCloudChanges(micros);
      case WORKERS_RESTART -> restartWorkers(micros, false);
      case WORKERS_BEGIN_AGAIN -> restartWorkers(micros, true);
      case DUPLICATE_COMMANDS -> duplicateCommands(micros);
      case ALL_DOWN_FOR_A_LEASE ->
          crashAll(SimulatedCluster.LEASE_MICROS + 5 * SECOND_MICROS, 2_000_000);
    }
  }

  /** Applies an outcome to a part of the transactions with writes. */
  private void disturbWrites(SimulatedStateService.TransactionOutcome outcome, long micros) {
    cluster.state.setTransactionOutcomes(
        txn ->
            !txn.writes().isEmpty() && cluster.random.nextInt(100) < DISTURBED_WRITE_PERCENT
                ? outcome
                : SimulatedStateService.TransactionOutcome.ANSWERED);
    cluster.clock.after(
        micros,
        () ->
            cluster.state.setTransactionOutcomes(
                txn -> SimulatedStateService.TransactionOutcome.ANSWERED));
  }

  private void slowDownState(long micros) {
    slowState = true;
    cluster.clock.after(micros, () -> slowState = false);
  }

  /** Shortens boot times; about 30% of the machines die at once, so that new ones must boot. */
  private void bootQuickly(long micros) {
    quickBoots = true;
    cluster.cloud.killMachines(30);
    cluster.clock.after(micros, () -> quickBoots = false);
  }

  private void delayCloudChanges(long micros) {
    lateCloudChanges = true;
    cluster.clock.after(micros, () -> lateCloudChanges = false);
  }

  /** Restarts some machines, each at a random moment of the given time. */
  private void restartWorkers(long micros, boolean numbersBeginAgain) {
    applyToSomeMachines(
        worker ->
            cluster.clock.after(
                cluster.random.nextInt((int) Math.max(1, micros)),
                () ->
                    worker.restart(cluster.random.nextInt(MAX_RESTART_MICROS), numbersBeginAgain)));
  }

  private void delayCommands(int jitterMicros, long micros) {
    commandDelayJitterMicros = jitterMicros;
    lateCommandsPercent = 20 + cluster.random.nextInt(81);
    cluster.clock.after(micros, () -> lateCommandsPercent = 0);
  }

  private void duplicateCommands(long micros) {
    duplicateCommandsPercent = 20 + cluster.random.nextInt(81);
    cluster.clock.after(micros, () -> duplicateCommandsPercent = 0);
  }

  /**
   * Crashes all controllers; each restarts after {@code minMicros} plus a random part of {@code
   * jitterMicros}.
   */
  private void crashAll(long minMicros, int jitterMicros) {
    for (int node = 0; node < cluster.size.nodes(); node++) {
      cluster.outages.crash(node, minMicros + cluster.random.nextInt(jitterMicros));
    }
  }

  private void changeLeaders(long micros) {
    for (int i = 0; i < LEADER_CHANGE_COUNT; i++) {
      cluster.clock.after(
          i * micros / LEADER_CHANGE_COUNT,
          () -> cluster.outages.crash(cluster.leader(), SECOND_MICROS));
    }
  }

  /** Applies a fault to random machines, at most a tenth of the fleet plus two. */
  private void applyToSomeMachines(Consumer<SimulatedWorker> fault) {
    int count = cluster.size.machines() / 10 + 2;
    List<SimulatedWorker> some = new ArrayList<>();
    for (int i = 0; i < count && cluster.cloud.randomWorker() != null; i++) {
      some.add(cluster.cloud.randomWorker());
    }
    some.forEach(fault);
  }

  // Callbacks and queries of the other parts of the deployment.

  void onJobCompleted(String job) {
    userLoad.onJobCompleted(job);
  }

  /** A user was answered that a job is accepted, done or cancelled. */
  void onUserAnswered(String job) {
    userLoad.onUserAnswered(job);
  }

  /** A worker has sent a heartbeat. */
  void onHeartbeatSent(String worker, int node, Heartbeat heartbeat) {
    duplicateHeartbeats.onHeartbeatSent(worker, node, heartbeat);
  }

  /** Returns how many held heartbeats were delivered after an election. */
  int heartbeatsDeliveredToNewLeaders() {
    return duplicateHeartbeats.deliveredToNewLeaders();
  }

  void onNewLeader() {
    duplicateHeartbeats.onNewLeader();
  }

  /** Returns how much longer than usual the state service takes for the next request. */
  long stateServiceDelayMicros() {
    return slowState ? 100_000 + cluster.random.nextInt(900_000) : 0;
  }

  /** Returns how long the next machine takes to boot. */
  long bootMicros() {
    return quickBoots
        ? 200_000 + cluster.random.nextInt(1_800_000)
        : 4_000_000 + cluster.random.nextInt(8_000_000);
  }

  /**
   * Returns how long a command or status request that is sent now is delayed; 0 for one that is
   * not.
   *
   * <p>A delayed request is not answered. It is executed once if its fencing token and incarnation
   * are still valid on arrival.
   */
  long commandDelayMicros() {
    boolean held = lateCommandsPercent > 0 && cluster.random.nextInt(100) < lateCommandsPercent;
    return held ? MIN_COMMAND_DELAY_MICROS + cluster.random.nextInt(commandDelayJitterMicros) : 0;
  }

  /**
   * Returns how long a rental or deletion that is requested now is delayed; 0 for one that is not.
   * A delayed request is not answered.
   */
  long cloudChangeDelayMicros() {
    boolean late = lateCloudChanges && cluster.random.nextInt(100) < LATE_CLOUD_CHANGE_PERCENT;
    return late ? MIN_CLOUD_DELAY_MICROS + cluster.random.nextInt(CLOUD_DELAY_JITTER_MICROS) : 0;
  }

  /** A worker has executed a command; delivers a copy of some commands later. */
  void onCommandExecuted(Runnable deliverCopy) {
    if (duplicateCommandsPercent > 0 && cluster.random.nextInt(100) < duplicateCommandsPercent) {
      cluster.clock.after(
          MIN_COPY_DELAY_MICROS + cluster.random.nextInt(COPY_DELAY_JITTER_MICROS), deliverCopy);
    }
  }
}
