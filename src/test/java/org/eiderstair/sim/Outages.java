package org.eiderstair.sim;

/** Failures of single parts of a deployment, each for a while. */
final class Outages {
  private final SimulatedCluster cluster;

  Outages(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * Crashes a controller and restarts it later; a controller that is already down is not affected.
   */
  void crash(int node, long micros) {
    SimulatedController controller = cluster.controller(node);
    if (controller.isRunning()) {
      controller.crash();
      cluster.clock.after(micros, controller::start);
    }
  }

  /**
   * Pauses a controller after its next decision, before the effects of that decision are executed.
   */
  void pause(int node, long micros) {
    cluster.controller(node).pause(micros);
  }

  /** Makes the state service refuse everyone for a while. */
  void stateServiceOutage(long micros) {
    cluster.state.setDown(true);
    cluster.clock.after(micros, () -> cluster.state.setDown(false));
  }

  /** Makes the state service refuse one controller and serve all others. */
  void stateServiceRefuses(int node, long micros) {
    String name = SimulatedController.nameOf(node);
    cluster.state.setRefused(name, true);
    cluster.clock.after(micros, () -> cluster.state.setRefused(name, false));
  }

  /**
   * Makes the state service leave new watches of one controller unanswered, and answer its other
   * requests.
   */
  void watchHangs(int node, long micros) {
    String name = SimulatedController.nameOf(node);
    cluster.state.setWatchesHeld(name, true);
    cluster.clock.after(micros, () -> cluster.state.setWatchesHeld(name, false));
  }

  void partitionNodeFromStateService(int node, long micros) {
    partition(node, RequestTransport.STATE_SERVICE, micros);
  }

  void partitionNodeFromCloud(int node, long micros) {
    partition(node, RequestTransport.CLOUD, micros);
  }

  void partitionNodeFromWorkers(int node, long micros) {
    cluster.cloud.workers().forEach(worker -> partition(node, worker.id, micros));
  }

  void partitionNodeFromPeers(int node, long micros) {
    for (int peer = 0; peer < cluster.size.nodes(); peer++) {
      if (peer != node) {
        partition(node, SimulatedController.nameOf(peer), micros);
      }
    }
  }

  void partitionWorker(SimulatedWorker worker, long micros) {
    for (int node = 0; node < cluster.size.nodes(); node++) {
      partition(node, worker.id, micros);
    }
  }

  private void partition(int node, String host, long micros) {
    cluster.network.partition(SimulatedController.nameOf(node), host, micros);
  }

  void partitionZone(int zone, long micros) {
    cluster.network.partitionZone(SimulatedCloud.ZONES.get(zone), micros);
  }
}
