package org.eiderstair.core.model;

/**
 * The heartbeat of one machine that waits for its answer, and what tells it from heartbeats that no
 * worker waits for any more: a worker has one heartbeat in flight, gives it up for the next, and
 * drops the answers to those of an earlier incarnation.
 */
public final class PendingHeartbeat {
  /** No heartbeat waits: no exchange has this number. */
  public static final long NONE = 0;

  /** Whether a worker waits for the answer to a heartbeat. */
  public enum Freshness {
    CURRENT(""),
    EARLIER_INCARNATION("OLD_SESSION"),
    SUPERSEDED("OLD_REPORT");

    private final String refusal;

    Freshness(String refusal) {
      this.refusal = refusal;
    }

    /** The reason that the sender is given; its text is sent to workers and stays as it is. */
    public String refusal() {
      return refusal;
    }
  }

  private long newestSequence;
  private long exchange = NONE;

  /**
   * Compares a heartbeat with those received before it.
   *
   * <p>Numbers are compared only within an incarnation. Compared without it, a heartbeat of a dead
   * incarnation stayed the newest one: launches left with its answer, which nobody read, and waited
   * minutes for a heartbeat with a larger number to settle them.
   *
   * @param incarnation the heartbeat's
   * @param sequence the heartbeat's
   * @param machineIncarnation the latest one that is known of its machine
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
   * A heartbeat waits from now on, or with exchange {@link #NONE} none does.
   *
   * @return the exchange that waited before, or {@link #NONE}
   */
  public long replace(long sequence, long nextExchange) {
    long before = exchange;
    newestSequence = sequence;
    exchange = nextExchange;
    return before;
  }

  /**
   * It is answered now.
   *
   * @return its exchange, or {@link #NONE}
   */
  public long take() {
    return replace(newestSequence, NONE);
  }

  /**
   * The machine has begun another incarnation: nobody reads an answer to a heartbeat of the one
   * before.
   *
   * @return the exchange that waited before, or {@link #NONE}
   */
  public long beginIncarnation() {
    return replace(0, NONE);
  }

  /** Its sequence; what its answer launches is settled by a later heartbeat only. */
  public long sequence() {
    return newestSequence;
  }
}
