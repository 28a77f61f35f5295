package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.function.UnaryOperator;

/**
 * A network whose heldByPair hold packets and deliver them, possibly much later, when they heal.
 */
final class SimulatedNetwork {
  private final SimulatedClock clock;
  private final Random random;
  private final Map<String, List<Runnable>> heldByPair = new HashMap<>();
  private final UnaryOperator<String> zoneOf;
  private final Map<String, List<Runnable>> heldByZone = new HashMap<>();

  /**
   * @param zoneOf the zone of a host, null for one that is in none
   */
  SimulatedNetwork(SimulatedClock clock, Random random, UnaryOperator<String> zoneOf) {
    this.zoneOf = zoneOf;
    this.clock = clock;
    this.random = random;
  }

  private static String pairKey(String one, String other) {
    return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
  }

  void partition(String one, String other, long micros) {
    if (heldByPair.putIfAbsent(pairKey(one, other), new ArrayList<>()) == null) {
      clock.after(
          micros,
          () -> heldByPair.remove(pairKey(one, other)).forEach(r -> clock.after(delayMicros(), r)));
    }
  }

  /** A zone goes on inside; nothing comes in or out. */
  void partitionZone(String zone, long micros) {
    if (heldByZone.putIfAbsent(zone, new ArrayList<>()) == null) {
      clock.after(
          micros, () -> heldByZone.remove(zone).forEach(r -> clock.after(delayMicros(), r)));
    }
  }

  private List<Runnable> heldPackets(String from, String to) {
    List<Runnable> held = heldByPair.get(pairKey(from, to));
    if (held == null && !heldByZone.isEmpty()) {
      String zoneFrom = zoneOf.apply(from);
      String zoneTo = zoneOf.apply(to);
      if (!Objects.equals(zoneFrom, zoneTo)) {
        held = heldByZone.containsKey(zoneFrom) ? heldByZone.get(zoneFrom) : heldByZone.get(zoneTo);
      }
    }
    return held;
  }

  /** Packets already on their way still arrive; a few take long, as when lost and sent again. */
  void send(String from, String to, Runnable deliver) {
    List<Runnable> held = heldPackets(from, to);
    if (held != null) {
      held.add(deliver);
    } else {
      clock.after(delayMicros(), deliver);
    }
  }

  private long delayMicros() {
    return random.nextInt(300) == 0
        ? 300_000 + random.nextInt(2_000_000)
        : 500 + random.nextInt(6_000);
  }
}
