package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.eiderstair.core.model.Heartbeat;

/** The faults of docs/fault-scenarios.md, each for a while, so that they can be drawn together. */
final class FaultInjector {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long MIN_COMMAND_DELAY_MICROS = 2 * SECOND_MICROS;
  private static final int COMMAND_DELAY_JITTER_MICROS = 14_000_000;
  private static final int DISTURBED_WRITE_PERCENT = 30;
  private static final int LEADER_CHANGE_COUNT = 5;

  /** One fault; it lasts for a while. Tests draw them by their position: new ones come last. */
  enum Kind {
    LATE_WRITES,
    LOST_ANSWERS,
    LATE_HEARTBEATS,
    HEARTBEATS_KEPT_FOR_NEXT_LEADER,
    INBOUND_LOST,
    OUTBOUND_LOST,
    LEADER_PARTITIONED_FROM_STATE_AND_PEERS,
    CANCEL_NOW,
    CANCEL_NOW_WITH_HANG,
    CANCEL_ON_COMPLETION,
    INVALID_REQUESTS,
    IMMEDIATE_POLLS,
    LEADER_PAUSES,
    QUICK_BOOTS,
    LEADER_REFUSED_ALONE,
    STATE_OUTAGE,
    LEADER_CRASHES,
    ALL_CRASH,
    LEADER_CHANGES,
    ZONE_PARTITIONED,
    MACHINES_PARTITIONED,
    MACHINES_HANG,
    MACHINES_DIE,
    WATCH_HANGS,
    ONE_TASK_JOBS,
    UNEVEN_JOBS,
    OVERLOAD,
    SLOW_STATE,
    ALL_OUTBOUND_LOST,
    ALL_DOWN_FOR_A_LEASE,
    LATE_COMMANDS,
    CLOUD_OUTAGE
  }

  /** The class of jobs whose first task completes soon and whose others take long. */
  static final String UNEVEN_JOB_CLASS = "far apart";

  private final SimulatedCluster cluster;
  private final DuplicateHeartbeats duplicateHeartbeats;
  private final UserLoad userLoad;
  private boolean quickBoots;
  private boolean slowState;
  private int lateCommandsPercent;

  FaultInjector(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.duplicateHeartbeats = new DuplicateHeartbeats(cluster);
    this.userLoad = new UserLoad(cluster);
  }

  /** Begins one, for about that long. */
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
      case LATE_COMMANDS -> delayCommands(micros);
      case ALL_DOWN_FOR_A_LEASE ->
          crashAll(SimulatedCluster.LEASE_MICROS + 5 * SECOND_MICROS, 2_000_000);
    }
  }

  private void disturbWrites(SimulatedStateService.TransactionOutcome fate, long micros) {
    cluster.state.setTransactionOutcomes(
        txn ->
            !txn.writes().isEmpty() && cluster.random.nextInt(100) < DISTURBED_WRITE_PERCENT
                ? fate
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

  /** Some machines die with it, so that there is something to boot. */
  private void bootQuickly(long micros) {
    quickBoots = true;
    cluster.cloud.killMachines(30);
    cluster.clock.after(micros, () -> quickBoots = false);
  }

  private void delayCommands(long micros) {
    lateCommandsPercent = 20 + cluster.random.nextInt(81);
    cluster.clock.after(micros, () -> lateCommandsPercent = 0);
  }

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

  /** A tenth of the machines and two more. */
  private void applyToSomeMachines(Consumer<SimulatedWorker> fault) {
    int count = cluster.size.machines() / 10 + 2;
    List<SimulatedWorker> some = new ArrayList<>();
    for (int i = 0; i < count && cluster.cloud.randomWorker() != null; i++) {
      some.add(cluster.cloud.randomWorker());
    }
    some.forEach(fault);
  }

  // What the parts of the deployment ask.

  void onJobCompleted(String job) {
    userLoad.onJobCompleted(job);
  }

  /** A user was answered that a job is accepted, done or cancelled. */
  void onUserAnswered(String job) {
    userLoad.onUserAnswered(job);
  }

  /** A worker's heartbeat has left. */
  void onHeartbeatSent(String worker, int node, Heartbeat heartbeat) {
    duplicateHeartbeats.onHeartbeatSent(worker, node, heartbeat);
  }

  /** How many heartbeats were kept for a new leader, and sent to it. */
  int heartbeatsDeliveredToNewLeaders() {
    return duplicateHeartbeats.deliveredToNewLeaders();
  }

  void onNewLeader() {
    duplicateHeartbeats.onNewLeader();
  }

  /** How long the state service thinks beside its usual time. */
  long stateServiceDelayMicros() {
    return slowState ? 100_000 + cluster.random.nextInt(900_000) : 0;
  }

  long bootMicros() {
    return quickBoots
        ? 200_000 + cluster.random.nextInt(1_800_000)
        : 4_000_000 + cluster.random.nextInt(8_000_000);
  }

  /**
   * How long a direct command or question that leaves now is held on its way; 0 for one that is
   * not. One that is held stays unanswered, and is executed once if its fencing token and
   * incarnation still match then.
   */
  long commandDelayMicros() {
    boolean held = lateCommandsPercent > 0 && cluster.random.nextInt(100) < lateCommandsPercent;
    return held
        ? MIN_COMMAND_DELAY_MICROS + cluster.random.nextInt(COMMAND_DELAY_JITTER_MICROS)
        : 0;
  }
}
