package org.eiderstair.core.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Which zones are cut off from this node and its peers, and since when. */
final class ZonePartitions {
  /** A zone whose machines were all released has none that could show that it is back. */
  private static final long MAX_PARTITIONED_MICROS = 120_000_000;

  /**
   * PARTITIONED: most of a zone's machines are silent, and none of its controllers answers;
   * REACHABLE else.
   */
  private enum State {
    REACHABLE,
    PARTITIONED
  }

  private final Consumer<String> log;
  private final Map<String, Long> partitionedSince = new HashMap<>();

  ZonePartitions(Consumer<String> log) {
    this.log = log;
  }

  /** The one function for every change of what is known of a zone. */
  private void become(String zone, State next, String reason, long nowMicros) {
    if (next == State.PARTITIONED) {
      partitionedSince.put(zone, nowMicros);
    } else {
      partitionedSince.remove(zone);
    }
    log.accept("zone=" + zone + " -> " + next + ": " + reason);
  }

  void clear() {
    partitionedSince.clear();
  }

  boolean isEmpty() {
    return partitionedSince.isEmpty();
  }

  boolean contains(String zone) {
    return partitionedSince.containsKey(zone);
  }

  void add(String zone, String reason, long nowMicros) {
    become(zone, State.PARTITIONED, reason, nowMicros);
  }

  /** Nothing happens when it is not partitioned. */
  void remove(String zone, String reason, long nowMicros) {
    if (contains(zone)) {
      become(zone, State.REACHABLE, reason, nowMicros);
    }
  }

  /** A heartbeat since the zone was cut off, and lately, shows that it is not any more. */
  void heartbeat(String zone, long heartbeatMicros, long nowMicros) {
    Long since = partitionedSince.get(zone);
    long lately = nowMicros - PeerReachability.REPORT_VALID_MICROS;
    if (since != null && heartbeatMicros > Math.max(since, lately)) {
      become(zone, State.REACHABLE, "its machines report again", nowMicros);
    }
  }

  void expire(long nowMicros) {
    for (Map.Entry<String, Long> entry : List.copyOf(partitionedSince.entrySet())) {
      if (nowMicros > entry.getValue() + MAX_PARTITIONED_MICROS) {
        become(entry.getKey(), State.REACHABLE, "nothing known for long", nowMicros);
      }
    }
  }
}
