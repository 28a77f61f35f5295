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
 * The machines that the leader of one term knows, by name and by phase. The sets follow each change
 * of phase, so that one heartbeat costs one machine and not a walk over all.
 */
final class WorkerRegistry {
  /** Far more than can still be on their way in late heartbeats or lists. */
  private static final int MAX_TERMINATED = 10_000;

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
  private Predicate<String> isReleasing = id -> false;
  private FailoverTimeline failover;

  WorkerRegistry(Replica replica, TermContext context) {
    this.replica = replica;
    this.context = context;
  }

  /** Records in the failover's timeline how many machines are not confirmed yet. */
  void recordIn(FailoverTimeline timeline) {
    failover = timeline;
  }

  /** Sets what tells whether a machine is being released, also by an earlier term. */
  void setReleasing(Predicate<String> predicate) {
    isReleasing = predicate;
  }

  /** All machines, by name; for reading, like the sets below. */
  Map<String, Machine> machines() {
    return machinesView;
  }

  /** Machines that may hold work of earlier terms, until a heartbeat confirms what they hold. */
  Set<Machine> unconfirmed() {
    return unconfirmedView;
  }

  /** Machines that sent no heartbeat in this term, but are known from the standby's replica. */
  Set<Machine> recovered() {
    return recoveredView;
  }

  /** Machines whose fence was raised, until they show it. */
  Set<Machine> fencing() {
    return fencingView;
  }

  /**
   * Machines that have shown our token, the one answered longest ago first: their leases expire in
   * this order.
   */
  Set<Machine> leased() {
    return leasedView;
  }

  /** Machines that may be given waiting attempts; for reading. */
  List<Machine> queueable() {
    return queueable.all();
  }

  /**
   * Whether a machine was deleted in this term: a late heartbeat or list must not bring it back.
   */
  boolean isTerminated(String id) {
    return terminated.contains(id);
  }

  /** How many machines hold something that only they, or the standby's replica, can tell. */
  int unconfirmedCount() {
    return unconfirmed.size() + recovered.size();
  }

  /** Whether no machine needs a probe. */
  boolean areAllConfirmed() {
    return unconfirmed.isEmpty() && recovered.isEmpty() && fencing.isEmpty();
  }

  /** Adds a machine. */
  void add(Machine machine) {
    machines.put(machine.id(), machine);
    addToSets(machine);
  }

  /** Changes the phase of a machine, in the one place where that happens: the sets follow it. */
  void changePhase(Machine machine, Machine.Phase next) {
    unconfirmed.remove(machine);
    recovered.remove(machine);
    fencing.remove(machine);
    leased.remove(machine);
    machine.enterPhase(next);
    addToSets(machine);
    if (failover != null) {
      failover.unconfirmedMachinesChanged(unconfirmedCount(), context.nowMicros());
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

  /** A machine's lease runs from now on: its heartbeat is answered, or it may have begun anew. */
  void renewLease(Machine machine) {
    machine.recordAnswer(context.nowMicros());
    if (leased.remove(machine)) {
      leased.add(machine);
    }
  }

  /** Adds or removes a machine among those that may be given waiting attempts. */
  void updateQueueable(Machine machine) {
    boolean mayQueue =
        machine.known()
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

  /** Adds a machine that is rented or was found; it holds nothing yet. */
  Machine expect(String id, String address, String type, String zone, boolean spot) {
    Machine machine = new Machine(id, context.term(), Machine.Phase.BOOTING, context.nowMicros());
    describe(machine, address, type, zone, spot);
    if (isReleasing.test(id)) {
      machine.terminate();
    }
    add(machine);
    return machine;
  }

  /** Records what is known of a machine, and looks up its type. */
  void describe(Machine machine, String address, String typeName, String zone, boolean spot) {
    machine.describe(address, typeName, zone, spot);
    resolveType(machine);
  }

  /** Looks up the type of a machine in the catalogue. */
  void resolveType(Machine machine) {
    machine.resolveType(replica.catalog());
  }

  /** Removes a terminated machine; null if it is not known. */
  Machine remove(String id) {
    Machine machine = machines.remove(id);
    terminated.add(id);
    if (terminated.size() > MAX_TERMINATED) {
      terminated.remove(terminated.iterator().next());
    }
    if (machine != null) {
      changePhase(machine, Machine.Phase.TERMINATED);
    }
    return machine;
  }
}
