package org.eiderstair.sim;

/** One of the outages that whole days draw from; it lasts for a while. */
final class DrawnOutage {
  private static final long SECOND = 1_000_000;
  private static final int KINDS = 24;

  private DrawnOutage() {}

  /** Draws and begins one. */
  static void begin(SimulatedCluster cluster) {
    long span = (2 + cluster.random.nextInt(35)) * SECOND;
    SimulatedWorker worker = cluster.cloud.anyWorker();
    int node = cluster.random.nextInt(cluster.size.nodes());
    int kind = cluster.random.nextInt(KINDS);
    cluster.note("fault " + kind + " for " + span / SECOND + " s, leader n" + cluster.leader());
    Outages outages = cluster.outages;
    switch (kind) {
      case 0 -> outages.crash(cluster.leader(), 3 * SECOND);
      case 1 -> outages.crash(node, 3 * SECOND);
      case 2 -> crashAllOneAfterTheOther(cluster);
      case 3 -> outages.stateService(span);
      case 4 -> outages.stateServiceRefuses(cluster.leader(), span);
      case 5 -> outages.cutNodeFromStateService(cluster.leader(), span);
      case 6 -> outages.cutNodeFromWorkers(cluster.leader(), span);
      case 7 -> outages.cutNodeFromPeers(cluster.leader(), span);
      case 8 -> cluster.cloud.outage(span);
      case 9 -> {
        outages.cutNodeFromStateService(cluster.leader(), span);
        outages.cutNodeFromWorkers(cluster.leader(), span + 20 * SECOND);
      }
      case 10, 11, 12, 13, 14 -> machineFails(cluster, worker, kind, span);
      case 18 -> {
        // A rental or a return is on its way, and is answered or carried out long after the
        // failover.
        outages.cutNodeFromCloud(cluster.leader(), span + 20 * SECOND);
        int leader = cluster.leader();
        cluster.clock.after(span / 2, () -> outages.crash(leader, 3 * SECOND));
      }
      case 19 -> outages.cutZone(cluster.random.nextInt(3), span + 10 * SECOND);
      case 20 -> cluster.cloud.killMachines(50);
      case 21 -> crashAllForAMoment(cluster);
      case 22 -> {
        outages.cutNodeFromWorkers(cluster.leader(), span + 10 * SECOND);
        outages.cutNodeFromPeers(cluster.leader(), span + 10 * SECOND);
      }
      case 23 -> {
        outages.cutNodeFromCloud(cluster.leader(), span + 20 * SECOND);
        outages.pause(cluster.leader(), 5 * SECOND + span / 4);
      }
      case 16 -> outages.pause(cluster.leader(), SECOND / 2 + span / 4);
      case 17 -> {
        // Long enough for another to be elected meanwhile.
        outages.pause(cluster.leader(), 5 * SECOND + span / 4);
        outages.cutNodeFromStateService(node, span / 2);
      }
      default -> {
        outages.stateService(span / 2);
        outages.crash(node, 3 * SECOND);
      }
    }
  }

  private static void machineFails(
      SimulatedCluster cluster, SimulatedWorker worker, int kind, long span) {
    if (worker == null) {
      return;
    }
    switch (kind) {
      case 10, 11 -> worker.hang(span);
      case 12 -> cluster.outages.cutWorker(worker, span);
      case 13 -> worker.failAllTasks();
      default -> {
        if (worker.spot) {
          cluster.cloud.reclaim(worker, cluster.random.nextInt(2) * 6L * SECOND);
        }
      }
    }
  }

  private static void crashAllOneAfterTheOther(SimulatedCluster cluster) {
    for (int node = 0; node < cluster.size.nodes(); node++) {
      cluster.outages.crash(node, (3 + node) * SECOND);
    }
  }

  /** Some are back in the middle of the election. */
  private static void crashAllForAMoment(SimulatedCluster cluster) {
    for (int node = 0; node < cluster.size.nodes(); node++) {
      cluster.outages.crash(node, SECOND / 3 + cluster.random.nextInt(1_000_000));
    }
  }
}
