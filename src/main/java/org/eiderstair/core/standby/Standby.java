package org.eiderstair.core.standby;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.record.StandbyRecord;

/**
 * A hot standby: one controller that holds the leader's state of what may be on every machine, and
 * is named as in sync in a record under the leader key. While it is named, a launch leaves only
 * after the standby has acknowledged it; so when the standby is elected and the record still names
 * it, what it does not hold is nowhere. docs/standby.md has the argument.
 *
 * <p>Each node has one: it follows while the node is a follower, and replicates while it leads.
 */
public final class Standby {
  /** A leader that sent nothing for so long is looked for; it sends five batches in that time. */
  private static final long LEADER_TIMEOUT_MICROS = 1_500_000;

  /** What the leader's side needs of its node. */
  public interface Host {
    /** Whether the leader knows the state of every machine, so that a snapshot is complete. */
    boolean hasCompleteState();

    /** Hands over all that may be on any machine, and the machines whose incarnation is known. */
    void snapshot(Consumer<ReplicationBatch.Change> each);

    /** Sends a batch; the callback gets the acknowledgement, empty when no answer came. */
    void send(
        String peer, ReplicationBatch batch, Consumer<Optional<ReplicationBatch.Ack>> callback);

    /** Writes the record by compare-and-swap on its version and this leader's key. */
    void write(long version, StandbyRecord record, Consumer<RecordWrite> callback);

    /** Reads the record. */
    void read(Consumer<RecordRead> callback);

    /** The standby has taken over the term: leave office. */
    void termTakenOver();

    /** Logs a line. */
    void info(String text);
  }

  /** What a new leader must check before it decides on what it holds, in this order. */
  private enum RecoveryStep {
    /** This node was elected. */
    ELECTED,
    /** Its replica of the stored keys reaches its own election. */
    CAUGHT_UP,
    /** The record names this node, and this run of it. */
    NAMED,
    /** Its state is complete, and of the term that the record names. */
    COMPLETE,
    /** A check failed: every machine is asked instead. */
    REFUSED
  }

  private final String node;
  private final String runId;
  private final Consumer<String> log;
  private final StandbyReplica replica = new StandbyReplica();
  private ReplicationPrimary primary;
  private long lastBatchMicros = Long.MIN_VALUE / 2;

  /**
   * @param runId differs for every run of the node
   * @param log takes lines for the log
   */
  public Standby(String node, String runId, Consumer<String> log) {
    this.node = node;
    this.runId = runId;
    this.log = log;
  }

  /**
   * Takes a batch from the leader.
   *
   * @param mayFollow whether this node neither leads nor asks to
   */
  public ReplicationBatch.Ack receive(ReplicationBatch batch, boolean mayFollow, long nowMicros) {
    boolean accepted = mayFollow && replica.receive(batch);
    if (accepted) {
      lastBatchMicros = nowMicros;
    }
    return new ReplicationBatch.Ack(runId, accepted, accepted ? batch.lastSequence() : 0);
  }

  /** This node asks to lead: from now on it acknowledges nothing of older terms. */
  public void stopFollowing() {
    replica.freeze();
  }

  /** Whether the record names this run of this node, for the term whose state it holds. */
  public boolean namesThisNode(StandbyRecord record) {
    return record != null
        && record.names(node, runId)
        && record.term() == replica.term()
        && replica.isComplete();
  }

  /** Whether the record names any standby. */
  public static boolean namesAnyNode(StandbyRecord record) {
    return record != null && record.namesStandby();
  }

  /** Whether the leader that this node follows has sent nothing for too long. */
  public boolean leaderTimedOut(long nowMicros) {
    return replica.state() == StandbyReplica.State.FOLLOWING
        && nowMicros > lastBatchMicros + LEADER_TIMEOUT_MICROS;
  }

  private void reached(RecoveryStep step, String detail) {
    log.accept("standby recovery -> " + step + ": " + detail);
  }

  private Optional<Map<String, RecoveredMachine>> refused(String reason) {
    reached(RecoveryStep.REFUSED, reason);
    return Optional.empty();
  }

  /**
   * What this node as the leader of a new term knows from the last one, by machine; what it does
   * not name is nowhere. Can be recovered once only.
   *
   * @param record as of this term's beginning; null when there is none
   * @return empty when a check fails, and every machine must be asked
   */
  public Optional<Map<String, RecoveredMachine>> recover(
      long term, long revision, StandbyRecord record) {
    reached(RecoveryStep.ELECTED, "term=" + term);
    if (revision < term) {
      return refused("its keys are of revision " + revision);
    }
    reached(RecoveryStep.CAUGHT_UP, "revision " + revision);
    if (record == null || !record.names(node, runId)) {
      return refused(
          namesAnyNode(record) ? "the record names " + record.node() : "no standby was in sync");
    }
    reached(RecoveryStep.NAMED, "term=" + record.term());
    if (!namesThisNode(record)) {
      return refused("its state is " + replica.state() + ", term=" + replica.term());
    }
    reached(RecoveryStep.COMPLETE, replica.machineCount() + " machines");
    Map<String, RecoveredMachine> machines = replica.recoveredMachines();
    replica.clear();
    return Optional.of(machines);
  }

  /**
   * This node leads from now on, and keeps one of its peers in sync.
   *
   * @param recordVersion of the record as it was when the term began; 0 when there was none
   */
  public void startTerm(Host host, long term, List<String> peers, long recordVersion) {
    primary = new ReplicationPrimary(host, term, peers, recordVersion);
  }

  /** This node leads no longer; launches that wait are withheld. */
  public void endTerm() {
    if (primary != null) {
      primary.endTerm();
      primary = null;
    }
  }

  /** Replicates a change of the leader's state. */
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

  /** Does what time has made due. */
  public void tick(long nowMicros) {
    if (primary != null) {
      primary.tick(nowMicros);
    }
  }

  /** For the leader's log line: who is in sync. */
  public String summary() {
    return primary == null ? "off" : primary.summary();
  }
}
