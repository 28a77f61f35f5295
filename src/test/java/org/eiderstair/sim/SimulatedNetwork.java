package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.function.UnaryOperator;

/** A network whose cuts hold packets and deliver them, possibly much later, when they heal. */
final class SimulatedNetwork {
  private final SimulatedClock clock;
  private final Random random;
  private final Map<String, List<Runnable>> cuts = new HashMap<>();
  private final UnaryOperator<String> zoneOf;
  private final Map<String, List<Runnable>> cutZones = new HashMap<>();

  /**
   * @param zoneOf the zone of a host, null for one that is in none
   */
  SimulatedNetwork(SimulatedClock clock, Random random, UnaryOperator<String> zoneOf) {
    this.zoneOf = zoneOf;
    this.clock = clock;
    this.random = random;
  }

  private static String pair(String one, String other) {
    return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
  }

  void cut(String one, String other, long forMicros) {
    if (cuts.putIfAbsent(pair(one, other), new ArrayList<>()) == null) {
      clock.after(
          forMicros, () -> cuts.remove(pair(one, other)).forEach(r -> clock.after(delay(), r)));
    }
  }

  /** A zone goes on inside; nothing comes in or out. */
  void cutZone(String zone, long forMicros) {
    if (cutZones.putIfAbsent(zone, new ArrayList<>()) == null) {
      clock.after(forMicros, () -> cutZones.remove(zone).forEach(r -> clock.after(delay(), r)));
    }
  }

  private List<Runnable> held(String from, String to) {
    List<Runnable> held = cuts.get(pair(from, to));
    if (held == null && !cutZones.isEmpty()) {
      String zoneFrom = zoneOf.apply(from);
      String zoneTo = zoneOf.apply(to);
      if (!Objects.equals(zoneFrom, zoneTo)) {
        held = cutZones.containsKey(zoneFrom) ? cutZones.get(zoneFrom) : cutZones.get(zoneTo);
      }
    }
    return held;
  }

  /** Packets already on their way still arrive; a few take long, as when lost and sent again. */
  void send(String from, String to, Runnable deliver) {
    List<Runnable> held = held(from, to);
    if (held != null) {
      held.add(deliver);
    } else {
      clock.after(delay(), deliver);
    }
  }

  private long delay() {
    return random.nextInt(300) == 0
        ? 300_000 + random.nextInt(2_000_000)
        : 500 + random.nextInt(6_000);
  }
}
