package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.MachineType;

/** A simulated cloud that rents machines out and whose machine lists are some seconds old. */
final class SimulatedCloud {
  static final List<String> ZONES = List.of("a", "b", "c");

  static final MachineType MACHINE_TYPE =
      new MachineType("m8", 8, 0, 32, 30, 1, 1.0, 0.3, 8_000_000, ZONES);

  private static final long SNAPSHOT_INTERVAL_MICROS = 1_000_000;
  private static final int MAX_SNAPSHOTS = 20;
  private static final int MIN_LIST_AGE_SNAPSHOTS = 3;
  private static final int LIST_AGE_JITTER_SNAPSHOTS = 4;
  private static final long FAILURE_DETECTION_DELAY_MICROS = 30_000_000;

  private final SimulatedCluster cluster;

  /** Booted machines by id; dead machines remain until they are deleted. */
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();

  /** Ids of the machines rented by each request, so that a repeated request rents nothing more. */
  private final Map<String, List<String>> rentedByRequest = new HashMap<>();

  /** Rental time of each machine that is rented now, by id. */
  private final Map<String, Long> rentedAtMicros = new HashMap<>();

  /** The request that rented each machine, for all machines that were ever rented. */
  private final Map<String, Request.CloudRent> rentRequestByMachine = new HashMap<>();

  private final List<List<Reply.CloudMachine>> snapshots = new ArrayList<>();
  private final Set<String> releasedAsUnreachable = new HashSet<>();
  private int releasedWhileAlive;
  private int lastNumber;
  private boolean down;

  SimulatedCloud(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void start() {
    snapshots.add(List.of());
    takeSnapshot();
  }

  /** Makes the cloud refuse all requests for a while. */
  void outage(long micros) {
    down = true;
    cluster.clock.after(micros, () -> down = false);
  }

  /**
   * Serves a request.
   *
   * @param releaseTerms for each machine that is to be deleted, the term in which its release was
   *     last written
   */
  void serve(Request request, Map<String, Long> releaseTerms, Consumer<Reply> callback) {
    if (down) {
      callback.accept(new Reply.Refused(503));
    } else if (request instanceof Request.CloudCatalog) {
      callback.accept(new Reply.Catalog(List.of(MACHINE_TYPE)));
    } else if (request instanceof Request.CloudRent rent) {
      callback.accept(
          new Reply.Rented(
              rentedByRequest.computeIfAbsent(rent.requestName(), name -> rent(rent))));
    } else if (request instanceof Request.CloudDelete delete) {
      delete.machines().forEach(id -> delete(id, releaseTerms));
      callback.accept(new Reply.Applied(0));
    } else {
      // Lists are three to seven seconds old, so deleted machines still appear.
      int ageSnapshots = MIN_LIST_AGE_SNAPSHOTS + cluster.random.nextInt(LIST_AGE_JITTER_SNAPSHOTS);
      callback.accept(
          new Reply.CloudMachines(
              snapshots.get(Math.max(0, snapshots.size() - 1 - ageSnapshots)), false));
    }
  }

  private List<String> rent(Request.CloudRent rent) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < rent.count() && rentedAtMicros.size() < cluster.size.machines(); i++) {
      String id = String.format("i-%06d", ++lastNumber);
      ids.add(id);
      rentedAtMicros.put(id, cluster.clock.now());
      rentRequestByMachine.put(id, rent);
      cluster.clock.after(cluster.faults.bootMicros(), () -> boot(id, rent));
    }
    return ids;
  }

  private void boot(String id, Request.CloudRent rent) {
    if (rentedAtMicros.containsKey(id)) {
      workers.put(id, new SimulatedWorker(cluster, id, rent.type(), rent.zone(), rent.spot()));
    }
  }

  private void delete(String id, Map<String, Long> releaseTerms) {
    SimulatedWorker worker = workers.remove(id);
    if (worker != null) {
      cluster.rules.checkNotUsedByLaterTerm(worker, releaseTerms.get(id));
      if (!worker.isDead() && releasedAsUnreachable.contains(id)) {
        releasedWhileAlive++;
      }
      worker.die();
    }
    rentedAtMicros.remove(id);
  }

  /** Records the machine list of this moment and keeps the last snapshots. */
  private void takeSnapshot() {
    cluster.clock.after(SNAPSHOT_INTERVAL_MICROS, this::takeSnapshot);
    List<Reply.CloudMachine> list = new ArrayList<>();
    rentedAtMicros.forEach((id, rentedAt) -> list.add(toCloudMachine(id, rentedAt)));
    list.sort(Comparator.comparing(Reply.CloudMachine::id));
    snapshots.add(list);
    if (snapshots.size() > MAX_SNAPSHOTS) {
      snapshots.remove(0);
    }
  }

  private Reply.CloudMachine toCloudMachine(String id, long rentedAt) {
    Request.CloudRent rent = rentRequestByMachine.get(id);
    return new Reply.CloudMachine(
        id,
        id,
        rent.type(),
        rent.zone(),
        rent.spot(),
        phase(workers.get(id)),
        cluster.clock.now() - rentedAt);
  }

  private String phase(SimulatedWorker worker) {
    if (worker == null) {
      return "booting";
    }
    boolean failed =
        worker.isDead()
            && cluster.clock.now() > worker.diedMicros() + FAILURE_DETECTION_DELAY_MICROS;
    return failed ? "failed" : "running";
  }

  /** Reclaims a spot machine after a notice. */
  void reclaim(SimulatedWorker worker, long noticeMicros) {
    worker.receiveReclaimNotice(noticeMicros);
    cluster.clock.after(
        noticeMicros,
        () -> {
          workers.remove(worker.id);
          rentedAtMicros.remove(worker.id);
          worker.die();
        });
  }

  /** Kills each machine with a probability of {@code percent} in a hundred. */
  void killMachines(int percent) {
    for (SimulatedWorker worker : workers()) {
      if (!worker.isDead() && cluster.random.nextInt(100) < percent) {
        worker.die();
      }
    }
  }

  /** Records that a leader releases this machine as unreachable. */
  void onReleasedAsUnreachable(String id) {
    releasedAsUnreachable.add(id);
  }

  /** Returns how many machines leaders have released as unreachable. */
  int releasedAsUnreachableCount() {
    return releasedAsUnreachable.size();
  }

  /** Returns how many machines were released as unreachable although they were alive. */
  int releasedWhileAliveCount() {
    return releasedWhileAlive;
  }

  /** Returns the booted machine with that id, or null. */
  SimulatedWorker worker(String id) {
    return workers.get(id);
  }

  /**
   * Returns a copy of the booted machines, dead ones included, so that the machines can change
   * during iteration.
   */
  List<SimulatedWorker> workers() {
    return new ArrayList<>(workers.values());
  }

  /** Returns a random booted machine, or null if there is none. */
  SimulatedWorker randomWorker() {
    List<SimulatedWorker> all = workers();
    return all.isEmpty() ? null : all.get(cluster.random.nextInt(all.size()));
  }

  /** Returns the number of booted machines, dead ones included. */
  int machineCount() {
    return workers.size();
  }

  /** Returns the number of booted machines that are alive. */
  int aliveMachineCount() {
    return (int) workers.values().stream().filter(worker -> !worker.isDead()).count();
  }

  /** Returns how many machines have ever been rented in a zone. */
  int rentedInZoneCount(String zone) {
    return (int)
        rentRequestByMachine.values().stream().filter(rent -> rent.zone().equals(zone)).count();
  }
}
