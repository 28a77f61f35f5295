package org.eiderstair.core.workers;

import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.eiderstair.core.model.Machine;

/**
 * Probes machines whose state is not known. A probe is a command without orders, and the worker's
 * reply is a heartbeat. The probe carries the fencing token, so the worker refuses commands with
 * lower tokens from then on.
 */
final class WorkerProber {
  private static final long PROBE_INTERVAL_MICROS = 1_500_000;
  private static final long ROUND_INTERVAL_MICROS = 20_000;

  /**
   * More than this many recent probes at once would delay the renewal of the leader's lease and
   * user requests.
   */
  private static final int MAX_RECENT_PROBES = 8;

  /** A probe older than this only waits for its timeout and causes no load in the meantime. */
  private static final long SLOW_PROBE_MICROS = 200_000;

  /**
   * The limit on all probes in flight, including slow ones. Slow probes do not count against the
   * limit on recent probes. When they did, 260 unreachable machines in a zone partition blocked the
   * probes of the others. Confirming half of all machines after the election then took 4.8 s
   * instead of 1 s.
   */
  private static final int MAX_PROBES = 128;

  private final TermContext context;
  private final WorkerRegistry registry;
  private final WorkerCommandClient client;

  /** The send time of each probe in flight, by machine; the earliest probe comes first. */
  private final Map<Machine, Long> inFlight = new LinkedHashMap<>();

  /** Confirmed machines that sent a heartbeat which looked old, and are to be asked. */
  private final Set<Machine> doubted = new LinkedHashSet<>();

  private int recentProbes;
  private long nextRoundMicros;

  WorkerProber(TermContext context, WorkerRegistry registry, WorkerCommandClient client) {
    this.context = context;
    this.registry = registry;
    this.client = client;
  }

  /** Postpones the next probe, because an answer or a probe is about to carry the fencing token. */
  void postpone(Machine machine) {
    machine.commands().scheduleProbe(context.nowMicros() + PROBE_INTERVAL_MICROS);
  }

  /**
   * Asks a machine for its state, because its heartbeat looked old: it was delayed, or another
   * worker has taken the place of the known one. A reply is never older than its probe.
   */
  void ask(Machine machine) {
    if (machine.isStateKnown() || machine.phase() == Machine.Phase.LEASE_EXPIRED) {
      doubted.add(machine);
    }
  }

  /**
   * Probes the unconfirmed, recovered, fenced and doubted machines that are due, within the limits.
   */
  void probeDue() {
    long now = context.nowMicros();
    if (now < nextRoundMicros || (registry.areAllConfirmed() && doubted.isEmpty())) {
      return;
    }
    nextRoundMicros = now + ROUND_INTERVAL_MICROS;
    recentProbes = 0;
    for (long sentMicros : inFlight.values()) {
      recentProbes += now < sentMicros + SLOW_PROBE_MICROS ? 1 : 0;
    }
    registry.fencing().forEach(this::probeIfDue);
    registry.unconfirmed().forEach(this::probeIfDue);
    registry.recovered().forEach(this::probeIfDue);
    doubted.removeIf(machine -> machine.phase() == Machine.Phase.TERMINATED);
    List.copyOf(doubted).forEach(this::probeIfDue);
  }

  private void probeIfDue(Machine machine) {
    boolean due =
        !machine.commands().isInFlight()
            && context.nowMicros() >= machine.commands().nextProbeMicros();
    boolean possible =
        machine.address() != null && context.leadership().mayLaunch(context.nowMicros());
    if (due && possible && recentProbes < MAX_RECENT_PROBES && inFlight.size() < MAX_PROBES) {
      postpone(machine);
      recentProbes++;
      doubted.remove(machine);
      inFlight.put(machine, context.nowMicros());
      client.probe(machine, () -> inFlight.remove(machine));
    }
  }
}
