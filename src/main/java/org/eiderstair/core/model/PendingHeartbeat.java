package org.eiderstair.core.model;

/**
 * The report of one machine that waits for its answer, and what tells it from reports that no
 * worker waits for any more: a worker has one report in flight, gives it up for the next, and drops
 * the answers to those of an earlier session.
 */
public final class PendingHeartbeat {
  /** What becomes of a report that has come. */
  public enum Standing {
    OPEN,
    OLD_SESSION,
    OLD_REPORT
  }

  private static final long NOBODY = 0;

  private long newest;
  private long exchange;

  /** What a report is, by its session, the machine's latest, and its number, before it is taken. */
  public Standing standing(long ofSession, long incarnation, long sequence) {
    if (ofSession < incarnation) {
      return Standing.OLD_SESSION;
    }
    return ofSession == incarnation && sequence <= newest ? Standing.OLD_REPORT : Standing.OPEN;
  }

  /**
   * The one function for every change: a report waits from now on, or with exchange 0 none does.
   * The exchange that waited before is given back, 0 if none did.
   *
   * <p>Found by the simulator (reports of three sessions held by a cut): numbers were compared
   * without their sessions. A report of a dead session stayed; launches went with its answer, which
   * nobody read, and were to be settled by a report with a larger number, which in the new session
   * took five minutes to come: the tasks stood still beside room.
   */
  public long become(long sequence, long nextExchange) {
    long before = exchange;
    newest = sequence;
    exchange = nextExchange;
    return before;
  }

  /** It is answered now. */
  public long answered() {
    return become(newest, NOBODY);
  }

  /**
   * The machine has begun another session: nobody reads an answer to a report of the one before.
   */
  public long newIncarnation() {
    return become(0, NOBODY);
  }

  /** Its number; what its answer launches is settled by a later report only. */
  public long sequence() {
    return newest;
  }
}
