package org.eiderstair.core.model;

/**
 * The heartbeat of one machine that waits for its answer. This class also detects heartbeats whose
 * answer no worker reads. A worker has one heartbeat in flight and gives it up for the next one.
 * Answers to heartbeats of an earlier incarnation are dropped by the worker.
 */
public final class PendingHeartbeat {
  /** Stands for no exchange, when no heartbeat waits. */
  public static final long NONE = 0;

  /** The relation of a heartbeat to those received before. */
  public enum Freshness {
    /** The worker waits for the answer to the heartbeat. */
    CURRENT(""),
    /** The heartbeat is from an earlier incarnation of the worker. */
    EARLIER_INCARNATION("OLD_SESSION"),
    /** The heartbeat is a copy, or older than one already received. */
    SUPERSEDED("OLD_REPORT");

    private final String refusalReason;

    Freshness(String refusalReason) {
      this.refusalReason = refusalReason;
    }

    /**
     * Returns the reason for a refusal of the heartbeat; empty for {@link #CURRENT}. Workers
     * receive this text, so it must not change.
     */
    public String refusalReason() {
      return refusalReason;
    }
  }

  private long newestSequence;
  private long exchange = NONE;

  /**
   * Compares a heartbeat with those received before it.
   *
   * <p>Sequence numbers are compared only within an incarnation. When they were compared across
   * incarnations, a heartbeat of an ended incarnation remained the newest. Launches were sent in
   * its answer, which no worker read. The launches then waited minutes for a heartbeat with a
   * larger sequence number.
   *
   * @param incarnation the incarnation in the heartbeat
   * @param sequence the sequence number of the heartbeat
   * @param machineIncarnation the latest known incarnation of the machine
   */
  public Freshness freshness(long incarnation, long sequence, long machineIncarnation) {
    if (incarnation < machineIncarnation) {
      return Freshness.EARLIER_INCARNATION;
    }
    return incarnation == machineIncarnation && sequence <= newestSequence
        ? Freshness.SUPERSEDED
        : Freshness.CURRENT;
  }

  /**
   * Replaces the waiting heartbeat. With exchange {@link #NONE}, no heartbeat waits afterwards.
   *
   * @return the exchange that waited before, or {@link #NONE}
   */
  public long replace(long sequence, long nextExchange) {
    long previousExchange = exchange;
    newestSequence = sequence;
    exchange = nextExchange;
    return previousExchange;
  }

  /**
   * Removes the waiting heartbeat, to be answered now.
   *
   * @return the exchange of the heartbeat, or {@link #NONE}
   */
  public long take() {
    return replace(newestSequence, NONE);
  }

  /**
   * Removes the waiting heartbeat because the machine has begun a new incarnation. No worker reads
   * answers to heartbeats of the previous incarnation.
   *
   * @return the exchange that waited before, or {@link #NONE}
   */
  public long beginIncarnation() {
    return replace(0, NONE);
  }

  /**
   * Returns the sequence number of the newest heartbeat. Only a later heartbeat shows the outcome
   * of launches in its answer.
   */
  public long sequence() {
    return newestSequence;
  }
}
