package org.eiderstair.core.standby;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.LongConsumer;
import org.eiderstair.core.message.ReplicationBatch;

/**
 * A warm standby: one controller that holds the leader's picture of what may be on every machine,
 * and is named for it in a record under the leader key. While it is named, a launch leaves only
 * after the standby has acknowledged it; so when the standby is elected and the record still names
 * it, what it does not hold is nowhere. docs/standby.md has the argument.
 */
public final class Standby {
  /** The record's key. */
  public static final String RECORD = "e/duty/standby";

  private static final long MISSED_MICROS = 1_500_000;

  /** What the leader's side needs. */
  public interface Host {
    /** Whether the leader's own picture is whole: no machine may hold what it does not know. */
    boolean hasCompleteState();

    /** All that may be on any machine, and the machines whose session is known. */
    void snapshot(Consumer<ReplicationBatch.Change> each);

    /** Sends a batch; null when no answer came. */
    void send(String peer, ReplicationBatch batch, Consumer<ReplicationBatch.Ack> callback);

    /**
     * Writes the record if it has that version and this leader's key is there. Told the new
     * version; 0 when it was certainly not written and may be tried again; -1 when the version
     * differs or its fate is not known.
     */
    void write(long version, Map<String, Object> record, LongConsumer callback);

    /** Reads the record: its version, 0 when there is none, -1 when that is not known. */
    void read(BiConsumer<Long, Map<String, Object>> callback);

    /** The standby has claimed the term: leave office. */
    void termTakenOver();

    /** Logs a line. */
    void info(String text);
  }

  /**
   * What a new leader must check before it decides on what it holds, in this order; REFUSED asks
   * every machine instead.
   */
  public enum Check {
    ELECTED,
    CAUGHT_UP,
    NAMED,
    WHOLE,
    REFUSED
  }

  private final String node;
  private final String run;
  private final Consumer<String> log;
  private final StandbyReplica copy = new StandbyReplica();
  private ReplicationPrimary primary;
  private long lastHeartbeatMicros = Long.MIN_VALUE / 2;

  public Standby(String node, String run, Consumer<String> log) {
    this.node = node;
    this.run = run;
    this.log = log;
  }

  // The standby's side.

  /** A batch of the leader's; {@code mayFollow} while this node neither stands nor leads. */
  public ReplicationBatch.Ack receive(ReplicationBatch batch, boolean mayFollow, long nowMicros) {
    boolean accepted = mayFollow && copy.receive(batch);
    if (accepted) {
      lastHeartbeatMicros = nowMicros;
    }
    return new ReplicationBatch.Ack(run, accepted, accepted ? batch.last() : 0);
  }

  /** This node stands: nothing of older terms is acknowledged from now on. */
  public void stopFollowing() {
    copy.freeze();
  }

  /** Whether the record names this run of this node, for the term whose picture it holds whole. */
  public boolean namesThisNode(Map<String, Object> record) {
    return record != null
        && node.equals(record.get("node"))
        && run.equals(record.get("run"))
        && record.get("epoch") instanceof Number epoch
        && epoch.longValue() == copy.term()
        && (copy.state() == StandbyReplica.State.FOLLOWING
            || copy.state() == StandbyReplica.State.FROZEN);
  }

  /** Whether the record names any standby. */
  public static boolean namesAnyNode(Map<String, Object> record) {
    return record != null && record.get("node") instanceof String name && !name.isEmpty();
  }

  /** Whether the leader has not been heard for so long that its standby looks for it. */
  public boolean leaderTimedOut(long nowMicros) {
    return copy.state() == StandbyReplica.State.FOLLOWING
        && nowMicros > lastHeartbeatMicros + MISSED_MICROS;
  }

  /** The record with the claim, which its leader can neither drop nor launch beside. */
  public static Map<String, Object> withTakeover(Map<String, Object> record) {
    Map<String, Object> claimed = new LinkedHashMap<>(record);
    claimed.put("claimed", true);
    return claimed;
  }

  /** How far the checks have come. */
  private void reached(Check next, String why) {
    log.accept("inherits: " + next + ": " + why);
  }

  /**
   * What this node inherits as the leader of a new term, by machine; null when a check fails, and
   * every machine must be asked.
   *
   * @param record as of this term's beginning
   */
  public Map<String, RecoveredMachine> recover(
      long term, long revision, Map<String, Object> record) {
    reached(Check.ELECTED, "term=" + term);
    if (revision < term) {
      reached(Check.REFUSED, "its keys are of revision " + revision);
      return null;
    }
    reached(Check.CAUGHT_UP, "revision " + revision);
    if (record == null || !node.equals(record.get("node")) || !run.equals(record.get("run"))) {
      reached(
          Check.REFUSED,
          namesAnyNode(record)
              ? "the record names " + record.get("node")
              : "no standby was in sync");
      return null;
    }
    reached(Check.NAMED, "by term " + record.get("epoch"));
    if (!namesThisNode(record)) {
      reached(Check.REFUSED, "its picture is " + copy.state() + " of term " + copy.term());
      return null;
    }
    reached(Check.WHOLE, copy.machines().size() + " machines");
    Map<String, RecoveredMachine> all = new LinkedHashMap<>();
    copy.machines()
        .forEach(
            (machine, held) -> {
              Map<String, Map<Integer, Long>> attempts = new LinkedHashMap<>();
              held.attempts.forEach(
                  (task, attempt) ->
                      attempts
                          .computeIfAbsent(task.job(), j -> new LinkedHashMap<>())
                          .put(task.index(), attempt));
              all.put(machine, new RecoveredMachine(held.incarnation, attempts));
            });
    copy.forget();
    return all;
  }

  // The leader's side.

  /**
   * @param recordVersion of the record as it was when the term began; 0 when there was none
   */
  public void startTerm(Host host, long term, List<String> peers, long recordVersion) {
    primary = new ReplicationPrimary(host, term, peers, recordVersion);
  }

  /** This node leads no longer; launches that wait are withheld. */
  public void endTerm() {
    if (primary != null) {
      primary.end();
      primary = null;
    }
  }

  /** Something changed in the leader's picture. */
  public void replicate(ReplicationBatch.Change change) {
    if (primary != null) {
      primary.replicate(change);
    }
  }

  /** Whether a launch may leave now, or as soon as the standby has acknowledged it. */
  public boolean admitsLaunches() {
    return primary == null || primary.admitsLaunches();
  }

  /**
   * Runs {@code launch} once the standby in sync has acknowledged all changes made so far, at once
   * when there is none; or {@code withhold} if that standby does not answer, the record must be
   * written first, or the term is over.
   */
  public void launch(Runnable launch, Runnable withhold) {
    if (primary != null) {
      primary.launch(launch, withhold);
    } else {
      launch.run();
    }
  }

  /** Time passes. */
  public void tick(long nowMicros) {
    if (primary != null) {
      primary.tick(nowMicros);
    }
  }

  /** For the leader's line: who is in sync. */
  public String summary() {
    return primary == null
        ? "off"
        : primary.standby() == null ? primary.state().toString() : primary.standby() + " in sync";
  }
}
