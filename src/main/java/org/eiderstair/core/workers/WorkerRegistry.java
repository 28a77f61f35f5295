package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Predicate;
import org.eiderstair.core.leadership.FailoverTimeline;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.MachineType;
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
  private final List<Machine> queueable = new ArrayList<>();

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
    return queueable;
  }

  boolean isTerminated(String id) {
    return gone.contains(id);
  }

  /** How many machines hold something that only they, or the standby's picture, can tell. */
  int unconfirmedCount() {
    return unconfirmed.size() + recovered.size();
  }

  /** A machine comes into the picture. */
  void add(Machine m) {
    machines.put(m.id, m);
    enter(m);
  }

  /** The one function for a change of a machine's phase: the sets above follow it. */
  void become(Machine m, Machine.Phase next) {
    unconfirmed.remove(m);
    recovered.remove(m);
    fencing.remove(m);
    leased.remove(m);
    m.phase = next;
    enter(m);
    if (failover != null) {
      failover.unconfirmedMachines(unconfirmedCount(), time.nowMicros());
    }
  }

  private void enter(Machine m) {
    switch (m.phase) {
      case UNCONFIRMED -> unconfirmed.add(m);
      case RECOVERED -> recovered.add(m);
      case FENCING -> {
        fencing.add(m);
        leased.add(m);
      }
      case CONFIRMED -> leased.add(m);
      case BOOTING, LEASE_EXPIRED, TERMINATED -> {}
    }
    updateQueueable(m);
  }

  void answered(Machine m) {
    m.answeredMicros = time.nowMicros();
    if (leased.remove(m)) {
      leased.add(m);
    }
  }

  void updateQueueable(Machine m) {
    boolean open = m.known() && m.plan == Machine.Plan.ACTIVE && m.registered && m.type != null;
    if (open == m.queueableIndex >= 0) {
      return;
    }
    if (open) {
      m.queueableIndex = queueable.size();
      queueable.add(m);
    } else {
      Machine last = queueable.remove(queueable.size() - 1);
      if (last != m) {
        queueable.set(m.queueableIndex, last);
        last.queueableIndex = m.queueableIndex;
      }
      m.queueableIndex = -1;
    }
  }

  /** What is marked as leaving, also by an earlier term: nothing may be placed on it. */
  void leaving(Predicate<String> marked) {
    leaving = marked;
  }

  Machine expect(String id, String address, String type, String zone, boolean spot) {
    Machine m = new Machine(id, term, Machine.Phase.BOOTING, time.nowMicros());
    describe(m, address, type, zone, spot);
    if (leaving.test(id)) {
      m.plan = Machine.Plan.TERMINATE;
    }
    add(m);
    return m;
  }

  void describe(Machine m, String address, String typeName, String zone, boolean spot) {
    m.address = address;
    m.typeName = typeName;
    m.zone = zone;
    m.spot = spot;
    resolveType(m);
  }

  void resolveType(Machine m) {
    for (MachineType type : replica.catalog()) {
      if (type.name().equals(m.typeName)) {
        m.type = type;
      }
    }
  }

  /** Machines that may hold work of earlier terms, since they have not been heard. */
  Set<Machine> unconfirmed() {
    return unconfirmed;
  }

  /** The machine is gone; whatever still comes of it is late. */
  Machine remove(String id) {
    Machine m = machines.remove(id);
    gone.add(id);
    if (gone.size() > MAX_TERMINATED) {
      gone.remove(gone.iterator().next());
    }
    if (m != null) {
      become(m, Machine.Phase.TERMINATED);
    }
    return m;
  }
}
