package org.eiderstair.core.workers;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.eiderstair.core.leadership.FailoverTimeline;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.state.Replica;

/**
 * The machines that the leader of one term knows, by name and by what is known of them. The sets
 * follow each change of phase, so that one report costs one machine and not a walk over all.
 */
final class WorkerRegistry {
  /** Far more than can still be on their way in late reports or lists. */
  private static final int MAX_TERMINATED = 10_000;

  private final Replica replica;
  private final EventTime time;
  private final long term;
  private final Map<String, Machine> machines = new LinkedHashMap<>();

  /** May hold work of earlier terms, since they have not been heard. */
  private final Set<Machine> unconfirmed = new LinkedHashSet<>();

  /** Not heard in this term, but known from the standby's picture. */
  private final Set<Machine> recovered = new LinkedHashSet<>();

  private final Set<Machine> fencing = new LinkedHashSet<>();

  /**
   * Machines that have shown our token, the one answered longest ago first: their leases end in
   * this order.
   */
  private final Set<Machine> leased = new LinkedHashSet<>();

  /** Machines that may be given waiting attempts. */
  private final IndexedMachineList queueable = new IndexedMachineList();

  /** Deleted by this term: a late report or list must not bring one back. */
  private final Set<String> gone = new LinkedHashSet<>();

  private Predicate<String> leaving = id -> false;
  private FailoverTimeline failover;

  WorkerRegistry(Replica replica, EventTime time, long term) {
    this.replica = replica;
    this.time = time;
    this.term = term;
  }

  /** Who follows how many machines are not known yet, from now on. */
  void follow(FailoverTimeline timeline) {
    failover = timeline;
  }

  Map<String, Machine> machines() {
    return machines;
  }

  Set<Machine> fencing() {
    return fencing;
  }

  Set<Machine> recovered() {
    return recovered;
  }

  Set<Machine> leased() {
    return leased;
  }

  List<Machine> queueable() {
    return queueable.all();
  }

  boolean isTerminated(String id) {
    return gone.contains(id);
  }

  /** How many machines hold something that only they, or the standby's picture, can tell. */
  int unconfirmedCount() {
    return unconfirmed.size() + recovered.size();
  }

  /** A machine comes into the picture. */
  void add(Machine machine) {
    machines.put(machine.id(), machine);
    enter(machine);
  }

  /** The one function for a change of a machine's phase: the sets above follow it. */
  void become(Machine machine, Machine.Phase next) {
    unconfirmed.remove(machine);
    recovered.remove(machine);
    fencing.remove(machine);
    leased.remove(machine);
    machine.enterPhase(next);
    enter(machine);
    if (failover != null) {
      failover.unconfirmedMachines(unconfirmedCount(), time.nowMicros());
    }
  }

  private void enter(Machine machine) {
    switch (machine.phase()) {
      case UNCONFIRMED -> unconfirmed.add(machine);
      case RECOVERED -> recovered.add(machine);
      case FENCING -> {
        fencing.add(machine);
        leased.add(machine);
      }
      case CONFIRMED -> leased.add(machine);
      case BOOTING, LEASE_EXPIRED, TERMINATED -> {}
    }
    updateQueueable(machine);
  }

  void answered(Machine machine) {
    machine.recordAnswer(time.nowMicros());
    if (leased.remove(machine)) {
      leased.add(machine);
    }
  }

  void updateQueueable(Machine machine) {
    boolean open =
        machine.known()
            && machine.plan() == Machine.Plan.ACTIVE
            && machine.isRegistered()
            && machine.type() != null;
    if (open == queueable.contains(machine)) {
      return;
    }
    if (open) {
      queueable.add(machine);
    } else {
      queueable.remove(machine);
    }
  }

  /** What is marked as leaving, also by an earlier term: nothing may be placed on it. */
  void leaving(Predicate<String> marked) {
    leaving = marked;
  }

  Machine expect(String id, String address, String type, String zone, boolean spot) {
    Machine machine = new Machine(id, term, Machine.Phase.BOOTING, time.nowMicros());
    describe(machine, address, type, zone, spot);
    if (leaving.test(id)) {
      machine.terminate();
    }
    add(machine);
    return machine;
  }

  void describe(Machine machine, String address, String typeName, String zone, boolean spot) {
    machine.describe(address, typeName, zone, spot);
    resolveType(machine);
  }

  void resolveType(Machine machine) {
    machine.resolveType(replica.catalog());
  }

  /** Machines that may hold work of earlier terms, since they have not been heard. */
  Set<Machine> unconfirmed() {
    return unconfirmed;
  }

  /** The machine is gone; whatever still comes of it is late. */
  Machine remove(String id) {
    Machine machine = machines.remove(id);
    gone.add(id);
    if (gone.size() > MAX_TERMINATED) {
      gone.remove(gone.iterator().next());
    }
    if (machine != null) {
      become(machine, Machine.Phase.TERMINATED);
    }
    return machine;
  }
}
