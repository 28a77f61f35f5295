package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.settings.Settings;

/**
 * A whole deployment on simulated time: controllers, a state service, a cloud, workers and users.
 *
 * <p>All parts draw their random numbers from one seeded source, so a day with the same seed
 * repeats exactly.
 */
final class SimulatedCluster {
  /** Duration of a worker lease. */
  static final long LEASE_MICROS = 15_000_000;

  private static final long HEARTBEAT_INTERVAL_MICROS = 3_000_000;
  private static final double STATE_REQUESTS_PER_SECOND = 200;
  private static final double STATE_WRITES_PER_SECOND = 80;
  static final int MAX_TRANSACTION_OPERATIONS = 12;
  private static final double CLOUD_REQUESTS_PER_SECOND = 8;

  /**
   * Whether trace lines, including all controller log lines, are printed: {@code -Dsim.log=true}.
   */
  private static final boolean TRACE_ENABLED = Boolean.getBoolean("sim.log");

  final SimulatedClock clock = new SimulatedClock();
  final Random random;
  final ClusterSize size;
  final SimulatedStateService state;
  final SimulatedNetwork network;
  final SimulatedCloud cloud = new SimulatedCloud(this);
  final SimulatedUsers users = new SimulatedUsers(this);
  final TaskTracker tasks = new TaskTracker(this);
  final RuleChecker rules;
  final LivenessChecker liveness = new LivenessChecker(this);
  final Outages outages = new Outages(this);
  final FaultInjector faults = new FaultInjector(this);
  final InjectedDefects defects = new InjectedDefects();

  /**
   * Digest of all effects of the controllers; it does not change when code is only moved or
   * renamed.
   */
  final EffectDigest effectDigest = new EffectDigest();

  /** Receives the text of every line that a controller logs. */
  Consumer<String> logListener = text -> {};

  private final SimulatedController[] controllers;
  private double completedShare;

  SimulatedCluster(long seed, ClusterSize size) {
    this.size = size;
    this.random = new Random(seed);
    this.rules = new RuleChecker(this);
    this.state = new SimulatedStateService(clock, random);
    this.network = new SimulatedNetwork(clock, random, this::zoneOf);
    this.controllers = new SimulatedController[size.nodes()];
    RequestTransport transport = new RequestTransport(this);
    for (int i = 0; i < controllers.length; i++) {
      controllers[i] = new SimulatedController(this, transport, i);
      controllers[i].start();
    }
    cloud.start();
    rules.start();
    liveness.start();
  }

  /** Returns the settings of the controller with that index. */
  Settings settingsOf(int index) {
    Map<String, Settings.Team> teams = new LinkedHashMap<>();
    for (String team : SampleJobs.TEAMS) {
      teams.put(team, new Settings.Team(team, size.guarantee(), size.limit(), 0, 0));
    }
    List<String> peers = new ArrayList<>();
    Map<String, String> nodeZones = new LinkedHashMap<>();
    for (int i = 0; i < size.nodes(); i++) {
      String name = SimulatedController.nameOf(i);
      if (i != index) {
        peers.add(name);
      }
      nodeZones.put(name, zoneOf(name));
    }
    return new Settings(
        SimulatedController.nameOf(index),
        peers,
        SimulatedCloud.ZONES,
        teams,
        List.of(),
        new Settings.WorkerTimings(
            HEARTBEAT_INTERVAL_MICROS, LEASE_MICROS, RuleChecker.CANCEL_BOUND_MICROS),
        new Settings.StateServiceLimits(
            STATE_REQUESTS_PER_SECOND, STATE_WRITES_PER_SECOND, MAX_TRANSACTION_OPERATIONS),
        CLOUD_REQUESTS_PER_SECOND,
        Settings.Tuning.defaults(),
        nodeZones,
        0);
  }

  /**
   * Returns the zone of a controller or worker, or null for the state service, the cloud and
   * unknown hosts.
   */
  private String zoneOf(String host) {
    if (SimulatedController.isController(host)) {
      return SimulatedCloud.ZONES.get(
          SimulatedController.indexOf(host) % SimulatedCloud.ZONES.size());
    }
    SimulatedWorker worker = cloud.worker(host);
    return worker == null ? null : worker.zone;
  }

  SimulatedController controller(int index) {
    return controllers[index];
  }

  SimulatedController controller(String name) {
    return controllers[SimulatedController.indexOf(name)];
  }

  /**
   * Sends a request to one controller; the callback is not called while that controller is down.
   */
  void sendRequest(int node, LongFunction<Event> event, Consumer<Answer> callback) {
    controllers[node].receive(event, callback);
  }

  /** Sends a heartbeat of a worker to a controller, and the answer back, over the network. */
  void deliverHeartbeat(String worker, int node, Heartbeat heartbeat, Consumer<Answer> callback) {
    String controller = SimulatedController.nameOf(node);
    network.send(
        worker,
        controller,
        () ->
            sendRequest(
                node,
                exchange -> new Event.HeartbeatReceived(exchange, heartbeat, false),
                answer -> network.send(controller, worker, () -> callback.accept(answer))));
  }

  /** Returns the index of the leader, or of a random controller while there is none. */
  int leader() {
    for (SimulatedController controller : controllers) {
      if (controller.isLeader()) {
        return controller.index();
      }
    }
    return random.nextInt(controllers.length);
  }

  /** Handles a line that a controller has logged. */
  void onControllerLog(String controller, String text) {
    trace(controller + " " + text);
    ControllerLog.machineReleasedAsUnreachable(text).ifPresent(cloud::onReleasedAsUnreachable);
    logListener.accept(text);
    if (ControllerLog.isElection(text)) {
      faults.onNewLeader();
    }
  }

  /** Records the smallest completed share of the work that was submitted before a time. */
  void recordCompletedShare(long submittedBeforeMicros) {
    completedShare = CompletionShares.min(this, submittedBeforeMicros);
  }

  /** Returns the smallest share over classes, teams and largest jobs, as last recorded. */
  double completedShare() {
    return completedShare;
  }

  /** Prints a line with the simulated time in milliseconds, if tracing is enabled. */
  void trace(String text) {
    if (TRACE_ENABLED) {
      System.out.println(clock.now() / 1000 + " " + text);
    }
  }
}
