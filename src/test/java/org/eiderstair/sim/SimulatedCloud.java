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

/** A stand-in for the cloud: it rents machines out, and its lists are some seconds old. */
final class SimulatedCloud {
  static final List<String> ZONES = List.of("a", "b", "c");

  static final MachineType TYPE =
      new MachineType("m8", 8, 0, 32, 30, 1, 1.0, 0.3, 8_000_000, ZONES);

  private static final long SNAPSHOT_MICROS = 1_000_000;
  private static final int KEPT_SNAPSHOTS = 20;
  private static final int MIN_LIST_AGE = 3;
  private static final int LIST_AGE_SPREAD = 4;
  private static final long FAILED_AFTER_MICROS = 30_000_000;

  private final SimulatedCluster cluster;

  /** Machines that have booted. */
  private final Map<String, SimulatedWorker> workers = new LinkedHashMap<>();

  private final Map<String, List<String>> rentedByRequest = new HashMap<>();
  private final Map<String, Long> rentedAtMicros = new HashMap<>();

  /** For every machine that was ever rented, by which request. */
  private final Map<String, Request.CloudRent> requests = new HashMap<>();

  private final List<List<Reply.CloudMachine>> snapshots = new ArrayList<>();
  private final Set<String> returnedAsUnreachable = new HashSet<>();
  private int returnedAlive;
  private int lastNumber;
  private boolean down;

  SimulatedCloud(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void start() {
    snapshots.add(List.of());
    takeSnapshot();
  }

  void outage(long micros) {
    down = true;
    cluster.clock.after(micros, () -> down = false);
  }

  /**
   * @param returnTerms for each machine that is to be deleted, the term in which its return was
   *     written last
   */
  void serve(Request request, Map<String, Long> returnTerms, Consumer<Reply> callback) {
    if (down) {
      callback.accept(new Reply.Refused(503));
    } else if (request instanceof Request.CloudCatalog) {
      callback.accept(new Reply.Catalog(List.of(TYPE)));
    } else if (request instanceof Request.CloudRent rent) {
      callback.accept(
          new Reply.Rented(
              rentedByRequest.computeIfAbsent(rent.requestName(), name -> rent(rent))));
    } else if (request instanceof Request.CloudDelete delete) {
      delete.machines().forEach(id -> delete(id, returnTerms));
      callback.accept(new Reply.Applied(0));
    } else {
      // Old by a few seconds, and by another few now and then: deleted machines still appear.
      int age = MIN_LIST_AGE + cluster.random.nextInt(LIST_AGE_SPREAD);
      callback.accept(
          new Reply.CloudMachines(snapshots.get(Math.max(0, snapshots.size() - 1 - age)), false));
    }
  }

  private List<String> rent(Request.CloudRent rent) {
    List<String> ids = new ArrayList<>();
    for (int i = 0; i < rent.count() && rentedAtMicros.size() < cluster.size.machines(); i++) {
      String id = String.format("i-%06d", ++lastNumber);
      ids.add(id);
      rentedAtMicros.put(id, cluster.clock.now());
      requests.put(id, rent);
      cluster.clock.after(cluster.faults.bootMicros(), () -> boot(id, rent));
    }
    return ids;
  }

  private void boot(String id, Request.CloudRent rent) {
    if (rentedAtMicros.containsKey(id)) {
      workers.put(id, new SimulatedWorker(cluster, id, rent.type(), rent.zone(), rent.spot()));
    }
  }

  private void delete(String id, Map<String, Long> returnTerms) {
    SimulatedWorker worker = workers.remove(id);
    if (worker != null) {
      cluster.rules.checkNotUsedSince(worker, returnTerms.get(id));
      if (!worker.dead() && returnedAsUnreachable.contains(id)) {
        returnedAlive++;
      }
      worker.die();
    }
    rentedAtMicros.remove(id);
  }

  /** What the cloud would list now, kept for a while. */
  private void takeSnapshot() {
    cluster.clock.after(SNAPSHOT_MICROS, this::takeSnapshot);
    List<Reply.CloudMachine> list = new ArrayList<>();
    rentedAtMicros.forEach((id, rentedAt) -> list.add(listed(id, rentedAt)));
    list.sort(Comparator.comparing(Reply.CloudMachine::id));
    snapshots.add(list);
    if (snapshots.size() > KEPT_SNAPSHOTS) {
      snapshots.remove(0);
    }
  }

  private Reply.CloudMachine listed(String id, long rentedAt) {
    Request.CloudRent rent = requests.get(id);
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
        worker.dead() && cluster.clock.now() > worker.diedMicros() + FAILED_AFTER_MICROS;
    return failed ? "failed" : "running";
  }

  /** The cloud takes a spot machine back after a notice. */
  void reclaim(SimulatedWorker worker, long noticeMicros) {
    worker.notice(noticeMicros);
    cluster.clock.after(
        noticeMicros,
        () -> {
          workers.remove(worker.id);
          rentedAtMicros.remove(worker.id);
          worker.die();
        });
  }

  /** So many machines in a hundred stop with all that is on them. */
  void killMachines(int percent) {
    for (SimulatedWorker worker : workers()) {
      if (!worker.dead() && cluster.random.nextInt(100) < percent) {
        worker.die();
      }
    }
  }

  /** A leader has said that it gives this machine back since nobody reaches it. */
  void returnedAsUnreachable(String id) {
    returnedAsUnreachable.add(id);
  }

  /** How many machines leaders have released as unreachable. */
  int returnedAsUnreachable() {
    return returnedAsUnreachable.size();
  }

  /** How many machines were released as unreachable although they were alive. */
  int returnedAlive() {
    return returnedAlive;
  }

  /** The booted machine of that name, or null. */
  SimulatedWorker worker(String id) {
    return workers.get(id);
  }

  /** A copy: what is done with them may change the machines. */
  List<SimulatedWorker> workers() {
    return new ArrayList<>(workers.values());
  }

  SimulatedWorker anyWorker() {
    List<SimulatedWorker> all = workers();
    return all.isEmpty() ? null : all.get(cluster.random.nextInt(all.size()));
  }

  int machines() {
    return workers.size();
  }

  int alive() {
    return (int) workers.values().stream().filter(worker -> !worker.dead()).count();
  }

  /** Of all machines that were ever rented, how many in that zone. */
  int rentedIn(String zone) {
    return (int) requests.values().stream().filter(rent -> rent.zone().equals(zone)).count();
  }
}
