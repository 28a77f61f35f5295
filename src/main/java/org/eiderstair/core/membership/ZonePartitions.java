package org.eiderstair.core.membership;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

/** Tracks which zones are cut off from this node and its peers, and since when. */
final class ZonePartitions {
  /**
   * A zone counts as partitioned for at most this long. If all its machines were released, none is
   * left whose heartbeat could show that the zone is reachable again.
   */
  private static final long MAX_PARTITIONED_MICROS = 120_000_000;

  private enum State {
    /** The zone is not known to be cut off. */
    REACHABLE,
    /**
     * No controller in the zone answers. Most of the zone's machines are silent, or the term has
     * just begun.
     */
    PARTITIONED
  }

  private final Consumer<String> log;
  private final Map<String, Long> partitionedSince = new HashMap<>();

  ZonePartitions(Consumer<String> log) {
    this.log = log;
  }

  /** Performs and logs every change of a zone's state, except the reset by {@link #clear}. */
  private void transitionTo(String zone, State next, String reason, long nowMicros) {
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
    transitionTo(zone, State.PARTITIONED, reason, nowMicros);
  }

  /** Marks a zone as reachable; does nothing when it is not partitioned. */
  void remove(String zone, String reason, long nowMicros) {
    if (contains(zone)) {
      transitionTo(zone, State.REACHABLE, reason, nowMicros);
    }
  }

  /**
   * Marks a zone as reachable if a heartbeat from it is recent and newer than the partition.
   *
   * @param heartbeatMicros when the latest heartbeat from the zone arrived
   */
  void heartbeatReceived(String zone, long heartbeatMicros, long nowMicros) {
    Long since = partitionedSince.get(zone);
    long recentSinceMicros = nowMicros - PeerReachability.REPORT_VALID_MICROS;
    if (since != null && heartbeatMicros > Math.max(since, recentSinceMicros)) {
      transitionTo(zone, State.REACHABLE, "its machines send heartbeats again", nowMicros);
    }
  }

  void expire(long nowMicros) {
    for (Map.Entry<String, Long> entry : List.copyOf(partitionedSince.entrySet())) {
      if (nowMicros > entry.getValue() + MAX_PARTITIONED_MICROS) {
        transitionTo(entry.getKey(), State.REACHABLE, "partition state expired", nowMicros);
      }
    }
  }
}
