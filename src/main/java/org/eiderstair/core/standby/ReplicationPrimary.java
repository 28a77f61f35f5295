package org.eiderstair.core.standby;

import java.util.List;
import org.eiderstair.core.message.ReplicationBatch;

/**
 * The leader's side: who is in sync. It replicates to one peer at a time, names it in the record
 * once it has all changes, and from before that lets a launch go only after its acknowledgement.
 */
final class ReplicationPrimary implements ReplicationStream.Listener {
  private static final long RETRY_MICROS = 2_000_000;

  /** Retries come at most this many times two slower. */
  private static final int MAX_BACKOFF_SHIFT = 4;

  /** The state of the in-sync record, and with it whether launches may leave. */
  enum State {
    /**
     * The record of an earlier term names a standby, which knows nothing of this one: it is taken
     * out, and nothing is launched until then.
     */
    REMOVING_PREVIOUS,
    /** There is no standby; launches are free. */
    UNREPLICATED,
    /** All that is known is being sent to a peer; launches are free. */
    TRANSFERRING_SNAPSHOT,
    /** The record is being written; launches await acknowledgements. */
    ADDING,
    /** The record names the standby; launches await acknowledgements. */
    IN_SYNC,
    /** The standby is being taken out of the record; nothing is launched until then. */
    REMOVING,
    /** The term is over. */
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
  private long nextTryMicros;
  private long now;

  /**
   * @param recordVersion of the record as this leader knows it; 0 when there is none
   */
  ReplicationPrimary(Standby.Host host, long term, List<String> peers, long recordVersion) {
    this.host = host;
    this.term = term;
    this.peers = peers;
    this.stream = new ReplicationStream(host, term, this);
    this.recordWriter = new InSyncRecordWriter(host, term, recordVersion, this::takenOver);
    this.state = recordVersion == 0 ? State.UNREPLICATED : State.REMOVING_PREVIOUS;
  }

  /** For the leader's log line: who is in sync, or the state. */
  String summary() {
    return state == State.IN_SYNC ? peer() + " in sync" : state.toString();
  }

  private String peer() {
    return peers.isEmpty() ? "none" : peers.get(peerIndex);
  }

  /** The one function for every change of state. */
  private void become(State next, String reason) {
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
      tryNextPeerLater();
    }
    if (!admitsLaunches()) {
      heldLaunches.withholdAll();
    }
  }

  /** Where no peer can follow, a snapshot must not be made every two seconds for nothing. */
  private void tryNextPeerLater() {
    nextTryMicros = now + (RETRY_MICROS << Math.min(failures, MAX_BACKOFF_SHIFT));
    failures++;
    peerIndex = peers.isEmpty() ? 0 : (peerIndex + 1) % peers.size();
  }

  void endTerm() {
    become(State.ENDED, "the term is over");
  }

  /**
   * Whether a launch may leave, at once or after an acknowledgement. Not while the record is being
   * written to name nobody: an outage of the state service makes that take as long as it lasts, and
   * what comes with a launch must not wait for it.
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
   * Runs {@code launch} as soon as everything up to now has been acknowledged, or needs not be.
   * Where that will not be, runs {@code withhold} instead: within twice the time after which a
   * standby counts as slow.
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
    stream.at(now);
    recordWriter.at(now);
    switch (state) {
      case REMOVING_PREVIOUS, REMOVING -> nameNobody();
      case UNREPLICATED -> startIfDue();
      case TRANSFERRING_SNAPSHOT -> {
        addIfCaughtUp();
        stream.send();
      }
      case ADDING -> {
        stream.send();
        if (stream.snapshotAcknowledged()) {
          namePeer();
        }
      }
      case IN_SYNC -> stream.send();
      case ENDED -> {}
    }
  }

  private void startIfDue() {
    if (!peers.isEmpty() && now >= nextTryMicros && host.hasCompleteState()) {
      stream.start(peer());
      become(State.TRANSFERRING_SNAPSHOT, stream.lastSequence() + " changes");
      stream.send();
    }
  }

  /**
   * An answer must have come first, even where there is nothing to send: it says which run of the
   * peer the record is to name. A record that names none lets nobody recover.
   */
  private void addIfCaughtUp() {
    if (!stream.peerRunId().isEmpty()
        && stream.snapshotAcknowledged()
        && stream.unacknowledged() <= ReplicationStream.MAX_BATCH_CHANGES) {
      stream.extendSnapshot();
      become(State.ADDING, "has all but " + stream.unacknowledged());
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
      become(State.UNREPLICATED, reason);
    } else {
      become(State.REMOVING, reason);
      nameNobody();
    }
  }

  private void namePeer() {
    recordWriter.write(peer(), stream.peerRunId(), this::named);
  }

  private void named() {
    if (state == State.ADDING) {
      failures = 0;
      become(State.IN_SYNC, "named in the record");
    }
  }

  /**
   * Writes a record that names nobody; only then may launches go that no standby has acknowledged.
   * A missing record proves nothing, since a newer leader may have dropped it, or a write of this
   * leader that names a standby may yet arrive. A newer version, under this leader's key, makes
   * both fail. The search in StandbyTest finds the harm otherwise.
   */
  private void nameNobody() {
    recordWriter.write(
        "", stream.peerRunId(), () -> become(State.UNREPLICATED, "the record names nobody"));
  }

  private void takenOver() {
    endTerm();
    host.termTakenOver();
  }
}
