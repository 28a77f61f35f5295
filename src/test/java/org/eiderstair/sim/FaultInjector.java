package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.eiderstair.core.model.Heartbeat;

/** The faults of docs/fault-scenarios.md, each for a while, so that they can be drawn together. */
final class FaultInjector {
  private static final long SECOND = 1_000_000;
  private static final long MIN_LATE_COMMAND_MICROS = 2 * SECOND;
  private static final int LATE_COMMAND_SPREAD_MICROS = 14_000_000;
  private static final int LATE_WRITE_PERCENT = 30;
  private static final int LEADER_CHANGES = 5;

  /** One fault; it lasts for a while. Tests draw them by their position: new ones come last. */
  enum Kind {
    LATE_WRITES,
    LOST_ANSWERS,
    LATE_HEARTBEATS,
    HEARTBEATS_KEPT_FOR_NEXT_LEADER,
    INBOUND_LOST,
    OUTBOUND_LOST,
    LEADER_CUT_FROM_STATE_AND_PEERS,
    CANCEL_NOW,
    CANCEL_NOW_WITH_HANG,
    CANCEL_ON_COMPLETION,
    INVALID_REQUESTS,
    IMMEDIATE_POLLS,
    LEADER_PAUSES,
    QUICK_BOOTS,
    LEADER_REFUSED_ALONE,
    STATE_OUTAGE,
    LEADER_ENDS,
    ALL_END,
    LEADER_CHANGES,
    ZONE_CUT,
    MACHINES_CUT,
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
  static final String UNEVEN = "far apart";

  private final SimulatedCluster cluster;
  private final HeartbeatCopies heartbeatCopies;
  private final UserLoad userLoad;
  private boolean quickBoots;
  private boolean slowState;
  private int lateCommandsPercent;

  FaultInjector(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.heartbeatCopies = new HeartbeatCopies(cluster);
    this.userLoad = new UserLoad(cluster);
  }

  /** Begins one, for about that long. */
  void begin(Kind kind, long micros) {
    Outages outages = cluster.outages;
    long end = cluster.clock.now() + micros;
    cluster.note("fault " + kind + " for " + micros / SECOND + " s, leader n" + cluster.leader());
    int leader = cluster.leader();
    switch (kind) {
      case LATE_WRITES -> delayWrites(SimulatedStateService.Fate.LATE, micros);
      case LOST_ANSWERS -> delayWrites(SimulatedStateService.Fate.ANSWER_LOST, micros);
      case LATE_HEARTBEATS -> heartbeatCopies.arriveLate(micros);
      case HEARTBEATS_KEPT_FOR_NEXT_LEADER -> heartbeatCopies.keepForNextLeader(micros);
      case INBOUND_LOST -> toSomeMachines(worker -> worker.loseInbound(micros));
      case OUTBOUND_LOST -> toSomeMachines(worker -> worker.loseOutbound(micros));
      case LEADER_CUT_FROM_STATE_AND_PEERS -> {
        outages.cutNodeFromStateService(leader, micros);
        outages.cutNodeFromPeers(leader, micros);
      }
      case CANCEL_NOW -> userLoad.cancelRunningJobs(0);
      case CANCEL_NOW_WITH_HANG -> userLoad.cancelRunningJobs(micros + 20 * SECOND);
      case CANCEL_ON_COMPLETION -> userLoad.cancelOnCompletion(micros);
      case INVALID_REQUESTS -> userLoad.sendInvalidRequests(end);
      case IMMEDIATE_POLLS -> userLoad.pollImmediately(micros);
      case LEADER_PAUSES -> outages.pause(leader, 2 * SECOND + micros / 3);
      case QUICK_BOOTS -> bootQuickly(micros);
      case LEADER_REFUSED_ALONE -> outages.stateServiceRefuses(leader, micros);
      case STATE_OUTAGE -> outages.stateService(micros);
      case LEADER_ENDS -> outages.crash(leader, 3 * SECOND);
      case ALL_END -> crashAll(SECOND / 3, 20_000_000);
      case LEADER_CHANGES -> changeLeaders(micros);
      case ZONE_CUT -> outages.cutZone(cluster.random.nextInt(3), micros + 10 * SECOND);
      case MACHINES_CUT -> toSomeMachines(worker -> outages.cutWorker(worker, micros));
      case MACHINES_HANG -> toSomeMachines(worker -> worker.hang(micros));
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
      case ALL_DOWN_FOR_A_LEASE -> crashAll(SimulatedCluster.LEASE_MICROS + 5 * SECOND, 2_000_000);
    }
  }

  private void delayWrites(SimulatedStateService.Fate fate, long micros) {
    cluster.state.decideFates(
        txn ->
            !txn.writes().isEmpty() && cluster.random.nextInt(100) < LATE_WRITE_PERCENT
                ? fate
                : SimulatedStateService.Fate.ANSWERED);
    cluster.clock.after(
        micros, () -> cluster.state.decideFates(txn -> SimulatedStateService.Fate.ANSWERED));
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

  private void crashAll(long minMicros, int spreadMicros) {
    for (int node = 0; node < cluster.size.nodes(); node++) {
      cluster.outages.crash(node, minMicros + cluster.random.nextInt(spreadMicros));
    }
  }

  private void changeLeaders(long micros) {
    for (int i = 0; i < LEADER_CHANGES; i++) {
      cluster.clock.after(
          i * micros / LEADER_CHANGES, () -> cluster.outages.crash(cluster.leader(), SECOND));
    }
  }

  /** A tenth of the machines and two more. */
  private void toSomeMachines(Consumer<SimulatedWorker> fault) {
    int count = cluster.size.machines() / 10 + 2;
    List<SimulatedWorker> some = new ArrayList<>();
    for (int i = 0; i < count && cluster.cloud.anyWorker() != null; i++) {
      some.add(cluster.cloud.anyWorker());
    }
    some.forEach(fault);
  }

  // What the parts of the deployment ask.

  void jobCompleted(String job) {
    userLoad.jobCompleted(job);
  }

  /** A user was answered that a job is accepted, done or cancelled. */
  void userAnswered(String job) {
    userLoad.userAnswered(job);
  }

  /** A worker's heartbeat has left. */
  void heartbeatSent(String worker, int node, Heartbeat heartbeat) {
    heartbeatCopies.heartbeatSent(worker, node, heartbeat);
  }

  /** How many heartbeats were kept for a new leader, and sent to it. */
  int heartbeatsDeliveredToNewLeaders() {
    return heartbeatCopies.deliveredToNewLeaders();
  }

  void newLeader() {
    heartbeatCopies.newLeader();
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
    return held ? MIN_LATE_COMMAND_MICROS + cluster.random.nextInt(LATE_COMMAND_SPREAD_MICROS) : 0;
  }
}
