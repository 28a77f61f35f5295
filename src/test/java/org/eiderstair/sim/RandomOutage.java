package org.eiderstair.sim;

/** One of the outages that occur at random on whole days; each lasts for a while. */
final class RandomOutage {
  private static final long SECOND_MICROS = 1_000_000;
  private static final int KIND_COUNT = 24;

  private RandomOutage() {}

  /** Selects and starts a random outage. */
  static void start(SimulatedCluster cluster) {
    long durationMicros = (2 + cluster.random.nextInt(35)) * SECOND_MICROS;
    SimulatedWorker worker = cluster.cloud.randomWorker();
    int node = cluster.random.nextInt(cluster.size.nodes());
    int kind = cluster.random.nextInt(KIND_COUNT);
    cluster.trace(
        "fault "
            + kind
            + " for "
            + durationMicros / SECOND_MICROS
            + " s, leader n"
            + cluster.leader());
    Outages outages = cluster.outages;
    switch (kind) {
      case 0 -> outages.crash(cluster.leader(), 3 * SECOND_MICROS);
      case 1 -> outages.crash(node, 3 * SECOND_MICROS);
      case 2 -> crashAllWithStaggeredRestarts(cluster);
      case 3 -> outages.stateServiceOutage(durationMicros);
      case 4 -> outages.stateServiceRefuses(cluster.leader(), durationMicros);
      case 5 -> outages.partitionNodeFromStateService(cluster.leader(), durationMicros);
      case 6 -> outages.partitionNodeFromWorkers(cluster.leader(), durationMicros);
      case 7 -> outages.partitionNodeFromPeers(cluster.leader(), durationMicros);
      case 8 -> cluster.cloud.outage(durationMicros);
      case 9 -> {
        outages.partitionNodeFromStateService(cluster.leader(), durationMicros);
        outages.partitionNodeFromWorkers(cluster.leader(), durationMicros + 20 * SECOND_MICROS);
      }
      case 10, 11, 12, 13, 14 -> failMachine(cluster, worker, kind, durationMicros);
      case 18 -> {
        // A rental or release in flight is answered or executed long after the failover.
        outages.partitionNodeFromCloud(cluster.leader(), durationMicros + 20 * SECOND_MICROS);
        int leader = cluster.leader();
        cluster.clock.after(durationMicros / 2, () -> outages.crash(leader, 3 * SECOND_MICROS));
      }
      case 19 ->
          outages.partitionZone(cluster.random.nextInt(3), durationMicros + 10 * SECOND_MICROS);
      case 20 -> cluster.cloud.killMachines(50);
      case 21 -> crashAllBriefly(cluster);
      case 22 -> {
        outages.partitionNodeFromWorkers(cluster.leader(), durationMicros + 10 * SECOND_MICROS);
        outages.partitionNodeFromPeers(cluster.leader(), durationMicros + 10 * SECOND_MICROS);
      }
      case 23 -> {
        outages.partitionNodeFromCloud(cluster.leader(), durationMicros + 20 * SECOND_MICROS);
        outages.pause(cluster.leader(), 5 * SECOND_MICROS + durationMicros / 4);
      }
      case 16 -> outages.pause(cluster.leader(), SECOND_MICROS / 2 + durationMicros / 4);
      case 17 -> {
        // The pause is long enough for the election of another leader.
        outages.pause(cluster.leader(), 5 * SECOND_MICROS + durationMicros / 4);
        outages.partitionNodeFromStateService(node, durationMicros / 2);
      }
      default -> {
        outages.stateServiceOutage(durationMicros / 2);
        outages.crash(node, 3 * SECOND_MICROS);
      }
    }
  }

  private static void failMachine(
      SimulatedCluster cluster, SimulatedWorker worker, int kind, long durationMicros) {
    if (worker == null) {
      return;
    }
    switch (kind) {
      case 10, 11 -> worker.hang(durationMicros);
      case 12 -> cluster.outages.partitionWorker(worker, durationMicros);
      case 13 -> worker.failAllTasks();
      default -> {
        if (worker.spot) {
          cluster.cloud.reclaim(worker, cluster.random.nextInt(2) * 6L * SECOND_MICROS);
        }
      }
    }
  }

  /** Crashes all controllers; they restart one second apart. */
  private static void crashAllWithStaggeredRestarts(SimulatedCluster cluster) {
    for (int node = 0; node < cluster.size.nodes(); node++) {
      cluster.outages.crash(node, (3 + node) * SECOND_MICROS);
    }
  }

  /**
   * Crashes all controllers for less than two seconds, so that some restart during the election.
   */
  private static void crashAllBriefly(SimulatedCluster cluster) {
    for (int node = 0; node < cluster.size.nodes(); node++) {
      cluster.outages.crash(node, SECOND_MICROS / 3 + cluster.random.nextInt(1_000_000));
    }
  }
}
