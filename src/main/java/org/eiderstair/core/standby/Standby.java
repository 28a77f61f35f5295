package org.eiderstair.core.standby;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.record.StandbyRecord;

/**
 * A hot standby: one controller that replicates the leader's view of which attempts may be on which
 * machine. A record in the state service names the standby in sync. The record is written only
 * while the leader key belongs to the writer. While the record names a standby, a launch is sent
 * only after the standby has acknowledged it. So if the standby is elected while the record still
 * names it, no machine holds an attempt that the standby does not know. docs/standby.md explains
 * why this is safe.
 *
 * <p>Each node has one instance, which follows the leader or, while the node leads, replicates to a
 * peer.
 */
public final class Standby {
  /**
   * A leader that has sent no batch for this long is considered failed. A healthy leader sends five
   * batches in this time.
   */
  private static final long LEADER_TIMEOUT_MICROS = 1_500_000;

  /** The operations of the node that the leader's side of the replication needs. */
  public interface Host {
    /** Returns whether the leader knows the state of every machine, as a snapshot requires. */
    boolean hasCompleteState();

    /**
     * Passes to the consumer every attempt that may be on a machine, and every machine whose
     * incarnation is known.
     */
    void snapshot(Consumer<ReplicationBatch.Change> each);

    /** Sends a batch. The callback gets the acknowledgement, or empty when no answer came. */
    void send(
        String peer, ReplicationBatch batch, Consumer<Optional<ReplicationBatch.Ack>> callback);

    /**
     * Writes the record if its version is still the given one (0 for an absent record) and the
     * leader key is still this leader's.
     */
    void write(long version, StandbyRecord record, Consumer<RecordWrite> callback);

    /** Reads the record from the state service. */
    void read(Consumer<RecordRead> callback);

    /** Makes the node stop leading, because the standby has taken over the term. */
    void termTakenOver();

    /** Logs a line at the info level. */
    void info(String text);
  }

  /**
   * The steps of a new leader's recovery from its replicated state, in the order of their checks.
   */
  private enum RecoveryStep {
    /** This node was elected. */
    ELECTED,
    /** This node's replica of the stored keys includes its own election. */
    CAUGHT_UP,
    /** The record names this run of this node. */
    NAMED,
    /** The replicated state is complete and belongs to the term in the record. */
    COMPLETE,
    /** A check failed, so the state of every machine is queried instead. */
    REFUSED
  }

  private final String node;
  private final String runId;
  private final Consumer<String> log;
  private final StandbyReplica replica = new StandbyReplica();
  private ReplicationPrimary primary;
  private long lastBatchMicros = Long.MIN_VALUE / 2;

  /**
   * @param runId identifies this run of the node; unique for each run
   * @param log receives the lines to log
   */
  public Standby(String node, String runId, Consumer<String> log) {
    this.node = node;
    this.runId = runId;
    this.log = log;
  }

  /**
   * Applies a batch from the leader, and returns the answer to it.
   *
   * @param mayFollow whether this node is a follower and the batch's leader has not been replaced
   */
  public ReplicationBatch.Ack receive(ReplicationBatch batch, boolean mayFollow, long nowMicros) {
    boolean accepted = mayFollow && replica.receive(batch);
    if (accepted) {
      lastBatchMicros = nowMicros;
    }
    return new ReplicationBatch.Ack(runId, accepted, accepted ? batch.lastSequence() : 0);
  }

  /**
   * Stops acknowledging batches of the snapshot that this node follows, and of older ones. Called
   * when this node campaigns or takes over a term.
   */
  public void stopFollowing() {
    replica.freeze();
  }

  /**
   * Returns whether the record names this run of this node as the standby, and this node holds the
   * complete state of the record's term.
   *
   * @param record null when there is none
   */
  public boolean isInSync(StandbyRecord record) {
    return record != null
        && record.names(node, runId)
        && record.term() == replica.term()
        && replica.isComplete();
  }

  /**
   * Returns whether the record names any standby.
   *
   * @param record null when there is none
   */
  public static boolean namesAnyNode(StandbyRecord record) {
    return record != null && record.namesStandby();
  }

  /**
   * Returns whether this node follows a leader that has sent no batch for longer than the timeout.
   */
  public boolean leaderTimedOut(long nowMicros) {
    return replica.state() == StandbyReplica.State.FOLLOWING
        && nowMicros > lastBatchMicros + LEADER_TIMEOUT_MICROS;
  }

  private void logStep(RecoveryStep step, String detail) {
    log.accept("standby recovery -> " + step + ": " + detail);
  }

  private Optional<Map<String, RecoveredMachine>> refuse(String reason) {
    logStep(RecoveryStep.REFUSED, reason);
    return Optional.empty();
  }

  /**
   * Returns the replicated state of the previous term, by the machine's name. Called when this node
   * becomes the leader. An attempt that is not in the result is on no machine. A successful call
   * discards the replicated state, so it succeeds only once.
   *
   * @param term the new term, which is the revision of this node's election
   * @param revision the revision of this node's replica of the stored keys
   * @param record the record at the beginning of the new term; null when there is none
   * @return empty when a check fails, so that the state of every machine must be queried
   */
  public Optional<Map<String, RecoveredMachine>> recover(
      long term, long revision, StandbyRecord record) {
    logStep(RecoveryStep.ELECTED, "term=" + term);
    if (revision < term) {
      return refuse("replica is older than the election, revision=" + revision);
    }
    logStep(RecoveryStep.CAUGHT_UP, "revision=" + revision);
    if (record == null || !record.names(node, runId)) {
      return refuse(
          namesAnyNode(record)
              ? "record names another run or node, node=" + record.node()
              : "no standby was in sync");
    }
    logStep(RecoveryStep.NAMED, "term=" + record.term());
    if (!isInSync(record)) {
      return refuse("replicated state=" + replica.state() + ", term=" + replica.term());
    }
    logStep(RecoveryStep.COMPLETE, "machines=" + replica.machineCount());
    Map<String, RecoveredMachine> machines = replica.recoveredMachines();
    replica.clear();
    return Optional.of(machines);
  }

  /**
   * Starts to replicate to one of the peers; called when this node becomes the leader.
   *
   * @param peers the candidates for the standby, in the order in which they are tried
   * @param recordVersion the version of the record when the term began; 0 when there was none
   */
  public void startTerm(Host host, long term, List<String> peers, long recordVersion) {
    primary = new ReplicationPrimary(host, term, peers, recordVersion);
  }

  /** Ends the replication, and withholds all launches that wait for an acknowledgement. */
  public void endTerm() {
    if (primary != null) {
      primary.endTerm();
      primary = null;
    }
  }

  /** Replicates a change of the leader's state; does nothing outside a term. */
  public void replicate(ReplicationBatch.Change change) {
    if (primary != null) {
      primary.replicate(change);
    }
  }

  /** Returns whether a launch may be sent now or once the standby has acknowledged it. */
  public boolean admitsLaunches() {
    return primary == null || primary.admitsLaunches();
  }

  /**
   * Runs {@code launch} once the standby in sync has acknowledged all changes made so far, or at
   * once when there is no such standby. Runs {@code withhold} instead if that standby does not
   * answer, the record must be written first, or the term has ended.
   */
  public void launch(Runnable launch, Runnable withhold) {
    if (primary != null) {
      primary.launch(launch, withhold);
    } else {
      launch.run();
    }
  }

  /** Sends the batches and writes that are due, and detects timeouts. */
  public void tick(long nowMicros) {
    if (primary != null) {
      primary.tick(nowMicros);
    }
  }

  /**
   * Returns the standby in sync, or else the state of the replication, for the leader's log line.
   */
  public String summary() {
    return primary == null ? "off" : primary.summary();
  }
}
