package org.eiderstair.core.workers;

import java.util.Collections;
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
 * The machines known to the leader of one term, indexed by name and by phase. The sets are updated
 * on each phase change, so that a heartbeat does not require an iteration over all machines.
 */
final class WorkerRegistry {
  /** Far exceeds the number of machines that delayed heartbeats or lists can still contain. */
  private static final int MAX_TERMINATED_MACHINES = 10_000;

  private final Replica replica;
  private final TermContext context;
  private final Map<String, Machine> machines = new LinkedHashMap<>();
  private final Set<Machine> unconfirmed = new LinkedHashSet<>();
  private final Set<Machine> recovered = new LinkedHashSet<>();
  private final Set<Machine> fencing = new LinkedHashSet<>();
  private final Set<Machine> leased = new LinkedHashSet<>();
  private final IndexedMachineList queueable = new IndexedMachineList();
  private final Set<String> terminated = new LinkedHashSet<>();
  private final Map<String, Machine> machinesView = Collections.unmodifiableMap(machines);
  private final Set<Machine> unconfirmedView = Collections.unmodifiableSet(unconfirmed);
  private final Set<Machine> recoveredView = Collections.unmodifiableSet(recovered);
  private final Set<Machine> fencingView = Collections.unmodifiableSet(fencing);
  private final Set<Machine> leasedView = Collections.unmodifiableSet(leased);
  private Predicate<String> releasing = id -> false;
  private FailoverTimeline failoverTimeline;

  WorkerRegistry(Replica replica, TermContext context) {
    this.replica = replica;
    this.context = context;
  }

  /** Sets the timeline that records the number of machines that are not confirmed yet. */
  void setFailoverTimeline(FailoverTimeline timeline) {
    failoverTimeline = timeline;
  }

  /** Sets the predicate that tells whether this or an earlier term is releasing a machine. */
  void setReleasingPredicate(Predicate<String> predicate) {
    releasing = predicate;
  }

  /** Returns a read-only view of all machines by name. */
  Map<String, Machine> machines() {
    return machinesView;
  }

  /**
   * Returns a read-only view of the machines that may run tasks of earlier terms. A heartbeat with
   * the current fencing token confirms their tasks.
   */
  Set<Machine> unconfirmed() {
    return unconfirmedView;
  }

  /**
   * Returns a read-only view of the machines that are known from the standby's replica and are not
   * confirmed yet in this term.
   */
  Set<Machine> recovered() {
    return recoveredView;
  }

  /** Returns a read-only view of the machines that have not reported their raised fence yet. */
  Set<Machine> fencing() {
    return fencingView;
  }

  /**
   * Returns a read-only view of the confirmed and fencing machines, in the order of their last
   * answer or phase change, the earliest first. Leases are checked for expiry in this order.
   */
  Set<Machine> leased() {
    return leasedView;
  }

  /** Returns a read-only view of the machines that attempts may be queued for. */
  List<Machine> queueable() {
    return queueable.all();
  }

  /**
   * Returns whether a machine was terminated in this term. A delayed heartbeat or list must not add
   * it again.
   */
  boolean isTerminated(String id) {
    return terminated.contains(id);
  }

  /** Returns the number of machines that are registered but not confirmed in this term. */
  int unconfirmedCount() {
    return unconfirmed.size() + recovered.size();
  }

  /** Returns whether no machine needs a probe. */
  boolean areAllConfirmed() {
    return unconfirmed.isEmpty() && recovered.isEmpty() && fencing.isEmpty();
  }

  /** Adds a machine, also to the set of its phase. */
  void add(Machine machine) {
    machines.put(machine.id(), machine);
    addToSets(machine);
  }

  /**
   * Changes the phase of a machine and updates the sets. All phase changes go through this method.
   */
  void changePhase(Machine machine, Machine.Phase next) {
    unconfirmed.remove(machine);
    recovered.remove(machine);
    fencing.remove(machine);
    leased.remove(machine);
    machine.enterPhase(next);
    addToSets(machine);
    if (failoverTimeline != null) {
      failoverTimeline.unconfirmedMachinesChanged(unconfirmedCount(), context.nowMicros());
    }
  }

  private void addToSets(Machine machine) {
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

  /**
   * Restarts a machine's lease from now. Called when a heartbeat is answered, and when the worker
   * may have started a new lease.
   */
  void renewLease(Machine machine) {
    machine.recordAnswer(context.nowMicros());
    if (leased.remove(machine)) {
      leased.add(machine);
    }
  }

  /** Adds the machine to {@link #queueable()} or removes it, according to its current state. */
  void updateQueueable(Machine machine) {
    boolean mayQueue =
        machine.isStateKnown()
            && machine.plan() == Machine.Plan.ACTIVE
            && machine.isRegistered()
            && machine.type() != null;
    if (mayQueue == queueable.contains(machine)) {
      return;
    }
    if (mayQueue) {
      queueable.add(machine);
    } else {
      queueable.remove(machine);
    }
  }

  /** Adds a booting machine that was rented or discovered and has no attempts yet. */
  Machine addBooting(String id, String address, String type, String zone, boolean spot) {
    Machine machine = new Machine(id, context.term(), Machine.Phase.BOOTING, context.nowMicros());
    describe(machine, address, type, zone, spot);
    if (releasing.test(id)) {
      machine.terminate();
    }
    add(machine);
    return machine;
  }

  /** Records the description of a machine and looks up its type. */
  void describe(Machine machine, String address, String typeName, String zone, boolean spot) {
    machine.describe(address, typeName, zone, spot);
    resolveType(machine);
  }

  /** Looks up the type of a machine in the catalog. */
  void resolveType(Machine machine) {
    machine.resolveType(replica.catalog());
  }

  /**
   * Removes a terminated machine and remembers its name.
   *
   * @return the machine, or null if it is unknown
   */
  Machine remove(String id) {
    Machine machine = machines.remove(id);
    terminated.add(id);
    if (terminated.size() > MAX_TERMINATED_MACHINES) {
      terminated.remove(terminated.iterator().next());
    }
    if (machine != null) {
      changePhase(machine, Machine.Phase.TERMINATED);
    }
    return machine;
  }
}
