package org.eiderstair.core.leadership;

import java.util.function.IntUnaryOperator;

/**
 * Decides when this node may campaign for the leader key. The backoff only affects which node
 * campaigns first. The state service's compare-and-swap on the key decides who leads.
 */
final class ElectionBackoff {
  private static final long RETRY_DELAY_MICROS = 400_000;
  private static final long RESIGNATION_DELAY_MICROS = 15_000_000;

  /** The JVM of a newly started controller interprets most of its code for about this long. */
  private static final long WARM_UP_MICROS = 20_000_000;

  /**
   * The minimum delay, in batch delays, before a node campaigns that yields for one reason. Another
   * node may collect changes for one batch delay before it learns of the deletion.
   */
  private static final int YIELD_BATCH_DELAYS = 2;

  /** The minimum delay, in batch delays, of a node that yields for both reasons. */
  private static final int DOUBLE_YIELD_BATCH_DELAYS = 4;

  private static final long NOT_LOADED = Long.MAX_VALUE;

  private final long batchDelayMicros;
  private final IntUnaryOperator random;
  private long replicaLoadedMicros = NOT_LOADED;
  private long notBeforeMicros;

  /**
   * @param batchDelayMicros the longest time for which a node collects changes before it reads them
   * @param random returns a uniformly distributed number from 0 up to, but not including, its
   *     argument
   */
  ElectionBackoff(long batchDelayMicros, IntUnaryOperator random) {
    this.batchDelayMicros = batchDelayMicros;
    this.random = random;
  }

  /**
   * Records that the replica holds the state service's keys. The warm-up period starts at the first
   * call; later calls have no effect.
   */
  void replicaLoaded(long nowMicros) {
    if (replicaLoadedMicros == NOT_LOADED) {
      replicaLoadedMicros = nowMicros;
    }
  }

  /** Returns whether this node may campaign at the given time. */
  boolean mayCampaign(long nowMicros) {
    return nowMicros >= notBeforeMicros;
  }

  /** Delays the next campaign after a failed campaign, a failed revocation or the end of a term. */
  void retryLater(long nowMicros) {
    notBeforeMicros = nowMicros + RETRY_DELAY_MICROS;
  }

  /** Delays the next campaign after a resignation, so that other nodes campaign first. */
  void resigned(long nowMicros) {
    notBeforeMicros = nowMicros + RESIGNATION_DELAY_MICROS;
  }

  /**
   * Delays the next campaign after the leader key was deleted while this node was a follower. A
   * node that is warming up yields to warm nodes, because it needs many times the processor time
   * for the same heartbeats. Every other node yields to a standby in sync. If the key is already
   * absent when the replica is loaded, no warm node has taken it, so there is no delay.
   *
   * @param anotherNodeInSync whether another node is the standby in sync
   */
  void leaderKeyDeleted(long nowMicros, boolean anotherNodeInSync) {
    if (replicaLoadedMicros == NOT_LOADED) {
      return;
    }
    boolean warmingUp = nowMicros < replicaLoadedMicros + WARM_UP_MICROS;
    if (!warmingUp && !anotherNodeInSync) {
      return;
    }
    int batchDelays =
        warmingUp && anotherNodeInSync ? DOUBLE_YIELD_BATCH_DELAYS : YIELD_BATCH_DELAYS;
    int delayMicros = (int) (batchDelays * batchDelayMicros);
    notBeforeMicros =
        Math.max(notBeforeMicros, nowMicros + delayMicros + random.applyAsInt(delayMicros));
  }
}
