package org.eiderstair.core.standby;

import java.util.List;
import org.eiderstair.core.message.ReplicationBatch;

/**
 * The leader's side of the replication. It replicates to one peer at a time and adds that peer to
 * the in-sync record once the peer has all changes. Before it writes that record, it starts to hold
 * each launch until the peer has acknowledged it.
 */
final class ReplicationPrimary implements ReplicationStream.Listener {
  private static final long RETRY_MICROS = 2_000_000;

  /** The retry interval doubles at most this many times. */
  private static final int MAX_BACKOFF_SHIFT = 4;

  /** The state of the in-sync record, which decides whether launches may be sent. */
  enum State {
    /**
     * The record of an earlier term may name a standby that knows nothing of this term. That
     * standby is removed from the record; no launch is sent until then.
     */
    REMOVING_PREVIOUS,
    /** There is no standby; launches need no acknowledgement. */
    UNREPLICATED,
    /** A snapshot is being sent to a peer; launches need no acknowledgement. */
    TRANSFERRING_SNAPSHOT,
    /** The peer is being added to the record; launches wait for acknowledgements. */
    ADDING,
    /** The record names the standby; launches wait for acknowledgements. */
    IN_SYNC,
    /** The standby is being removed from the record; no launch is sent until then. */
    REMOVING,
    /** The term has ended; no launch is sent any more. */
    ENDED
  }

  private final Standby.Host host;
  private final long term;
  private final List<String> peers;
  private final ReplicationStream stream;
  private final InSyncRecordWriter recordWriter;
  private final HeldLaunches heldLaunches = new HeldLaunches();
  private State state;
  private int peerIndex;
  private int failures;
  private long nextAttemptMicros;
  private long now;

  /**
   * @param peers the candidates for the standby, in the order in which they are tried
   * @param recordVersion the version of the in-sync record when the term began; 0 when there is no
   *     record
   */
  ReplicationPrimary(Standby.Host host, long term, List<String> peers, long recordVersion) {
    this.host = host;
    this.term = term;
    this.peers = peers;
    this.stream = new ReplicationStream(host, term, this);
    this.recordWriter = new InSyncRecordWriter(host, term, recordVersion, this::standbyTookOver);
    this.state = recordVersion == 0 ? State.UNREPLICATED : State.REMOVING_PREVIOUS;
  }

  /** Returns the name of the standby in sync, or else the state, for the leader's log line. */
  String summary() {
    return state == State.IN_SYNC ? peer() + " in sync" : state.toString();
  }

  private String peer() {
    return peers.isEmpty() ? "none" : peers.get(peerIndex);
  }

  /** Performs every change of state. No state follows {@link State#ENDED}. */
  private void transitionTo(State next, String reason) {
    if (state == State.ENDED) {
      return;
    }
    host.info(
        "standby " + state + " -> " + next + " term=" + term + " peer=" + peer() + ": " + reason);
    state = next;
    if (!isReplicating()) {
      stream.stop();
    }
    if (next == State.UNREPLICATED) {
      scheduleNextPeer();
    }
    if (!admitsLaunches()) {
      heldLaunches.withholdAll();
    }
  }

  /**
   * Schedules an attempt with the next peer, after an interval that grows with each failure.
   * Without the growth, a leader whose peers all fail would build a snapshot every two seconds.
   */
  private void scheduleNextPeer() {
    nextAttemptMicros = now + (RETRY_MICROS << Math.min(failures, MAX_BACKOFF_SHIFT));
    failures++;
    peerIndex = peers.isEmpty() ? 0 : (peerIndex + 1) % peers.size();
  }

  void endTerm() {
    transitionTo(State.ENDED, "term ended");
  }

  /**
   * Returns whether a launch may be sent, at once or after an acknowledgement. Returns false while
   * the standby is being removed from the record: in an outage of the state service that takes as
   * long as the outage. Other contents of the message that carries the launch must not wait for it.
   */
  boolean admitsLaunches() {
    return switch (state) {
      case UNREPLICATED, TRANSFERRING_SNAPSHOT, ADDING, IN_SYNC -> true;
      case REMOVING_PREVIOUS, REMOVING, ENDED -> false;
    };
  }

  private boolean awaitsAcknowledgements() {
    return state == State.ADDING || state == State.IN_SYNC;
  }

  private boolean isReplicating() {
    return state == State.TRANSFERRING_SNAPSHOT || awaitsAcknowledgements();
  }

  void replicate(ReplicationBatch.Change change) {
    stream.add(change);
  }

  /**
   * Runs {@code launch} once all changes made so far are acknowledged, or at once if none needs to
   * be. Runs {@code withhold} instead if the acknowledgement does not come. That happens within
   * twice the time after which a standby counts as slow.
   */
  void launch(Runnable launch, Runnable withhold) {
    if (!admitsLaunches()) {
      withhold.run();
    } else if (awaitsAcknowledgements()) {
      heldLaunches.hold(stream.lastSequence(), launch, withhold);
    } else {
      launch.run();
    }
  }

  void tick(long nowMicros) {
    now = nowMicros;
    stream.setNow(now);
    recordWriter.setNow(now);
    switch (state) {
      case REMOVING_PREVIOUS, REMOVING -> removeStandbyFromRecord();
      case UNREPLICATED -> startReplicationIfDue();
      case TRANSFERRING_SNAPSHOT -> {
        addPeerIfCaughtUp();
        stream.send();
      }
      case ADDING -> {
        stream.send();
        if (stream.snapshotAcknowledged()) {
          addPeerToRecord();
        }
      }
      case IN_SYNC -> stream.send();
      case ENDED -> {}
    }
  }

  private void startReplicationIfDue() {
    if (!peers.isEmpty() && now >= nextAttemptMicros && host.hasCompleteState()) {
      stream.start(peer());
      transitionTo(
          State.TRANSFERRING_SNAPSHOT, "snapshot started, changes=" + stream.lastSequence());
      stream.send();
    }
  }

  /**
   * Starts to add the peer to the record once it has the snapshot and lacks at most one batch. The
   * peer must have accepted a batch first, even an empty one: its answer carries the run ID that
   * the record needs. A record without a run ID lets no node recover.
   */
  private void addPeerIfCaughtUp() {
    if (!stream.peerRunId().isEmpty()
        && stream.snapshotAcknowledged()
        && stream.unacknowledged() <= ReplicationStream.MAX_BATCH_CHANGES) {
      stream.extendSnapshot();
      transitionTo(
          State.ADDING, "snapshot acknowledged, unacknowledged changes=" + stream.unacknowledged());
    }
  }

  @Override
  public void acknowledged() {
    if (awaitsAcknowledgements()) {
      heldLaunches.release(stream.acknowledgedSequence());
    }
  }

  @Override
  public void failed(String reason) {
    if (state == State.TRANSFERRING_SNAPSHOT) {
      transitionTo(State.UNREPLICATED, reason);
    } else {
      transitionTo(State.REMOVING, reason);
      removeStandbyFromRecord();
    }
  }

  private void addPeerToRecord() {
    recordWriter.write(peer(), stream.peerRunId(), this::peerAddedToRecord);
  }

  private void peerAddedToRecord() {
    if (state == State.ADDING) {
      failures = 0;
      transitionTo(State.IN_SYNC, "record names the peer");
    }
  }

  /**
   * Writes a record that names no standby. Only after this write may launches be sent that no
   * standby has acknowledged. An absent record is no proof: a newer leader may have deleted it, or
   * an earlier write of this leader that names a standby may still arrive. This write rules out
   * both, since it requires this leader's key and sets a newer version. The search in StandbyTest
   * finds lost launches without it.
   */
  private void removeStandbyFromRecord() {
    recordWriter.write(
        "", stream.peerRunId(), () -> transitionTo(State.UNREPLICATED, "record names no standby"));
  }

  private void standbyTookOver() {
    endTerm();
    host.termTakenOver();
  }
}
