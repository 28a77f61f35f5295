package org.eiderstair.core.workers;

import java.util.LinkedHashMap;
import java.util.Map;
import org.eiderstair.core.model.Machine;

/**
 * Probes machines whose state is not known: a command without orders shows the fencing token, which
 * fences off older commands, and its reply is a heartbeat.
 */
final class WorkerProber {
  private static final long PROBE_INTERVAL_MICROS = 1_500_000;
  private static final long ROUND_INTERVAL_MICROS = 20_000;

  /** More at once would hold up the leader's lease renewal and the users. */
  private static final int MAX_RECENT_PROBES = 8;

  /** A probe that has waited for so long waits for its time limit, and costs nothing meanwhile. */
  private static final long SLOW_PROBE_MICROS = 200_000;

  /**
   * Slow probes have a limit of their own: in a zone's partition, 260 machines that nobody reached
   * kept the others from being probed, and half of all were confirmed 4.8 s after the election
   * instead of 1 s.
   */
  private static final int MAX_PROBES = 128;

  private final TermContext context;
  private final WorkerRegistry registry;
  private final WorkerCommandClient client;

  /** Probes in flight with the time when each left, the earliest first. */
  private final Map<Machine, Long> inFlight = new LinkedHashMap<>();

  private int recentProbes;
  private long nextRoundMicros;

  WorkerProber(TermContext context, WorkerRegistry registry, WorkerCommandClient client) {
    this.context = context;
    this.registry = registry;
    this.client = client;
  }

  /** The answer to the machine's heartbeat will show it our token: no probe is needed for now. */
  void postpone(Machine machine) {
    machine.commands().scheduleProbe(context.nowMicros() + PROBE_INTERVAL_MICROS);
  }

  /** Probes machines that are not confirmed, or whose fence was raised, as far as limits allow. */
  void probeDue() {
    long now = context.nowMicros();
    if (now < nextRoundMicros || registry.areAllConfirmed()) {
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
      inFlight.put(machine, context.nowMicros());
      client.probe(machine, () -> inFlight.remove(machine));
    }
  }
}
