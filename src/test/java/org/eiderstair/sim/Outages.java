package org.eiderstair.sim;

/** Single failures of the parts of a deployment, each for a while. */
final class Outages {
  private final SimulatedCluster cluster;

  Outages(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /** The process ends and starts again later; nothing happens to one that is down already. */
  void crash(int node, long forMicros) {
    SimulatedController controller = cluster.controller(node);
    if (controller.runs()) {
      controller.crash();
      cluster.clock.after(forMicros, controller::start);
    }
  }

  /** The process pauses after its next decision, before what it decided is carried out. */
  void pause(int node, long micros) {
    cluster.controller(node).pause(micros);
  }

  void stateService(long micros) {
    cluster.state.down(true);
    cluster.clock.after(micros, () -> cluster.state.down(false));
  }

  /** The state service refuses one controller, and serves the others. */
  void stateServiceRefuses(int node, long micros) {
    String name = SimulatedController.nameOf(node);
    cluster.state.refuse(name, true);
    cluster.clock.after(micros, () -> cluster.state.refuse(name, false));
  }

  /** The state service answers one controller's requests, but not its watches. */
  void watchHangs(int node, long micros) {
    String name = SimulatedController.nameOf(node);
    cluster.state.holdWatches(name, true);
    cluster.clock.after(micros, () -> cluster.state.holdWatches(name, false));
  }

  void cutNodeFromStateService(int node, long micros) {
    cut(node, RequestTransport.STATE_SERVICE, micros);
  }

  void cutNodeFromCloud(int node, long micros) {
    cut(node, RequestTransport.CLOUD, micros);
  }

  void cutNodeFromWorkers(int node, long micros) {
    cluster.cloud.workers().forEach(worker -> cut(node, worker.id, micros));
  }

  void cutNodeFromPeers(int node, long micros) {
    for (int peer = 0; peer < cluster.size.nodes(); peer++) {
      if (peer != node) {
        cut(node, SimulatedController.nameOf(peer), micros);
      }
    }
  }

  void cutWorker(SimulatedWorker worker, long micros) {
    for (int node = 0; node < cluster.size.nodes(); node++) {
      cut(node, worker.id, micros);
    }
  }

  private void cut(int node, String host, long micros) {
    cluster.network.cut(SimulatedController.nameOf(node), host, micros);
  }

  void cutZone(int zone, long micros) {
    cluster.network.cutZone(SimulatedCloud.ZONES.get(zone), micros);
  }
}
