package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.function.UnaryOperator;

/**
 * A network with partitions. A partition holds packets and delivers them when it heals, possibly
 * much later.
 */
final class SimulatedNetwork {
  private final SimulatedClock clock;
  private final Random random;

  /** Held packets of each pair of hosts that is partitioned. */
  private final Map<String, List<Runnable>> heldByPair = new HashMap<>();

  private final UnaryOperator<String> zoneOf;

  /** Held packets of each zone that is partitioned. */
  private final Map<String, List<Runnable>> heldByZone = new HashMap<>();

  /**
   * Creates a network without partitions.
   *
   * @param zoneOf returns the zone of a host, null for a host outside all zones
   */
  SimulatedNetwork(SimulatedClock clock, Random random, UnaryOperator<String> zoneOf) {
    this.zoneOf = zoneOf;
    this.clock = clock;
    this.random = random;
  }

  private static String pairKey(String one, String other) {
    return one.compareTo(other) < 0 ? one + "|" + other : other + "|" + one;
  }

  /** Partitions two hosts; without effect if they are already partitioned. */
  void partition(String one, String other, long micros) {
    if (heldByPair.putIfAbsent(pairKey(one, other), new ArrayList<>()) == null) {
      clock.after(
          micros,
          () -> heldByPair.remove(pairKey(one, other)).forEach(r -> clock.after(delayMicros(), r)));
    }
  }

  /** Partitions a zone: hosts inside it still reach each other, but nothing passes its boundary. */
  void partitionZone(String zone, long micros) {
    if (heldByZone.putIfAbsent(zone, new ArrayList<>()) == null) {
      clock.after(
          micros, () -> heldByZone.remove(zone).forEach(r -> clock.after(delayMicros(), r)));
    }
  }

  /** Returns the held packets of the partition between two hosts, or null if there is none. */
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

  /**
   * Sends a packet, or holds it if the hosts are partitioned; packets already in flight still
   * arrive.
   */
  void send(String from, String to, Runnable deliver) {
    List<Runnable> held = heldPackets(from, to);
    if (held != null) {
      held.add(deliver);
    } else {
      clock.after(delayMicros(), deliver);
    }
  }

  /**
   * Returns a random delay: a few milliseconds, for one packet in 300 longer, as after a
   * retransmission.
   */
  private long delayMicros() {
    return random.nextInt(300) == 0
        ? 300_000 + random.nextInt(2_000_000)
        : 500 + random.nextInt(6_000);
  }
}
