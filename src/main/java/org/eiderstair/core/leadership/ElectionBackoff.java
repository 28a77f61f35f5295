package org.eiderstair.core.leadership;

import java.util.function.IntUnaryOperator;

/**
 * When this node may campaign for the leader key. It decides who campaigns first, never who may
 * lead: that is for the state service's compare-and-swap on the key.
 */
final class ElectionBackoff {
  private static final long RETRY_MICROS = 400_000;
  private static final long RESIGNATION_PAUSE_MICROS = 15_000_000;

  /** About as long as a controller that was just started interprets most of its code. */
  private static final long WARM_UP_MICROS = 20_000_000;

  /** In gather periods: the time for which a node may gather changes before it learns of this. */
  private static final int YIELD_PERIODS = 2;

  private static final int YIELD_TWICE_PERIODS = 4;
  private static final long NOT_LOADED = Long.MAX_VALUE;

  private final long gatherMicros;
  private final IntUnaryOperator random;
  private long replicaLoadedMicros = NOT_LOADED;
  private long notBeforeMicros;

  /**
   * @param gatherMicros for how long changes may be gathered before a node learns of them
   * @param random a uniformly random number below its argument
   */
  ElectionBackoff(long gatherMicros, IntUnaryOperator random) {
    this.gatherMicros = gatherMicros;
    this.random = random;
  }

  /** The replica holds the state service's keys; warming up counts from the first call. */
  void replicaLoaded(long nowMicros) {
    if (replicaLoadedMicros == NOT_LOADED) {
      replicaLoadedMicros = nowMicros;
    }
  }

  boolean mayCampaign(long nowMicros) {
    return nowMicros >= notBeforeMicros;
  }

  /** A campaign failed, or a term ended. */
  void retryLater(long nowMicros) {
    notBeforeMicros = nowMicros + RETRY_MICROS;
  }

  /** This node gave up the leader key; the others get their turn first. */
  void resigned(long nowMicros) {
    notBeforeMicros = nowMicros + RESIGNATION_PAUSE_MICROS;
  }

  /**
   * The leader key was deleted while this node followed. A node that is warming up needs many times
   * the processor time for the same heartbeats, so it lets the others campaign first; and a standby
   * in sync goes before both. A key that is absent when the replica is loaded was left by all nodes
   * that are warm, so then nothing waits.
   */
  void leaderKeyDeleted(long nowMicros, boolean anotherNodeInSync) {
    if (replicaLoadedMicros == NOT_LOADED) {
      return;
    }
    boolean warmingUp = nowMicros < replicaLoadedMicros + WARM_UP_MICROS;
    if (!warmingUp && !anotherNodeInSync) {
      return;
    }
    int periods = warmingUp && anotherNodeInSync ? YIELD_TWICE_PERIODS : YIELD_PERIODS;
    int pauseMicros = (int) (periods * gatherMicros);
    notBeforeMicros =
        Math.max(notBeforeMicros, nowMicros + pauseMicros + random.applyAsInt(pauseMicros));
  }
}
