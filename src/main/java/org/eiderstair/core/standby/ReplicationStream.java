package org.eiderstair.core.standby;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.eiderstair.core.message.ReplicationBatch;

/**
 * The stream of numbered changes to one peer, which begins with a snapshot. One batch is in flight
 * at a time; later changes are sent with the next batch.
 */
final class ReplicationStream {
  /** A batch of this size is well below the size limit of a message between controllers. */
  static final int MAX_BATCH_CHANGES = 400;

  /**
   * The number of changes that may be queued in addition to a snapshot, whose size depends on the
   * cluster. 4,000 machines launch and end about this many tasks in two minutes.
   */
  private static final int MAX_QUEUED_CHANGES = 200_000;

  private static final long HEARTBEAT_INTERVAL_MICROS = 300_000;

  /**
   * Longer than a healthy standby takes to acknowledge a batch, yet so short that users do not
   * notice the delay of launches.
   */
  private static final long ACKNOWLEDGEMENT_TIMEOUT_MICROS = 400_000;

  /** Receives the outcome of each batch. */
  interface Listener {
    /** Called when the peer has all changes up to {@link #acknowledgedSequence}. */
    void acknowledged();

    /**
     * Called when the peer failed to follow. The listener must stop the stream, which does not
     * recover by itself.
     */
    void failed(String reason);
  }

  private final Standby.Host host;
  private final long term;
  private final Listener listener;
  private final ArrayDeque<ReplicationBatch.Change> queue = new ArrayDeque<>();
  private boolean active;
  private String peer;

  /** The run ID of the peer; empty until the peer has accepted a batch. */
  private String peerRunId = "";

  private long snapshot;
  private long snapshotSize;

  /** The peer has the snapshot once it has acknowledged all changes up to this number. */
  private long snapshotEnd;

  private long lastSequence;
  private long acknowledgedSequence;
  private boolean awaitingAcknowledgement;
  private long sentMicros;
  private long now;

  ReplicationStream(Standby.Host host, long term, Listener listener) {
    this.host = host;
    this.term = term;
    this.listener = listener;
  }

  /** Queues a snapshot of the leader's state for a peer; sends nothing yet. */
  void start(String toPeer) {
    queue.clear();
    host.snapshot(queue::add);
    peer = toPeer;
    peerRunId = "";
    snapshot++;
    acknowledgedSequence = 0;
    lastSequence = queue.size();
    snapshotSize = lastSequence;
    snapshotEnd = lastSequence;
    awaitingAcknowledgement = false;
    active = true;
  }

  /** Discards all unsent changes; a late acknowledgement is ignored. */
  void stop() {
    queue.clear();
    awaitingAcknowledgement = false;
    active = false;
  }

  void setNow(long nowMicros) {
    now = nowMicros;
  }

  /** Returns the run ID of the peer; empty until the peer has accepted a batch. */
  String peerRunId() {
    return peerRunId;
  }

  /** Returns the sequence number of the last change made, sent or not. */
  long lastSequence() {
    return lastSequence;
  }

  long acknowledgedSequence() {
    return acknowledgedSequence;
  }

  long unacknowledged() {
    return lastSequence - acknowledgedSequence;
  }

  /** Returns whether the peer has acknowledged all changes that count as part of the snapshot. */
  boolean snapshotAcknowledged() {
    return acknowledgedSequence >= snapshotEnd;
  }

  /** Makes all changes made so far count as part of the snapshot. */
  void extendSnapshot() {
    snapshotEnd = lastSequence;
  }

  void add(ReplicationBatch.Change change) {
    if (!active) {
      return;
    }
    queue.add(change);
    lastSequence++;
    if (queuedBeyondSnapshot() > MAX_QUEUED_CHANGES) {
      listener.failed("too many queued changes, limit=" + MAX_QUEUED_CHANGES);
    }
  }

  private long queuedBeyondSnapshot() {
    long sentSequence = lastSequence - queue.size();
    return lastSequence - Math.max(sentSequence, snapshotSize);
  }

  /** Sends the next batch when it is due, or fails if the last was not acknowledged in time. */
  void send() {
    if (awaitingAcknowledgement) {
      if (now > sentMicros + ACKNOWLEDGEMENT_TIMEOUT_MICROS) {
        listener.failed("no acknowledgement for " + (now - sentMicros) / 1000 + " ms");
      }
      return;
    }
    if (queue.isEmpty() && now < sentMicros + HEARTBEAT_INTERVAL_MICROS) {
      return;
    }
    ReplicationBatch batch = nextBatch();
    awaitingAcknowledgement = true;
    sentMicros = now;
    host.send(peer, batch, ack -> handleAnswer(batch, ack));
  }

  private ReplicationBatch nextBatch() {
    int size = Math.min(queue.size(), MAX_BATCH_CHANGES);
    List<ReplicationBatch.Change> changes = new ArrayList<>(size);
    for (int i = 0; i < size; i++) {
      changes.add(queue.poll());
    }
    boolean snapshotIncomplete = acknowledgedSequence + size < snapshotEnd;
    return new ReplicationBatch(
        term, snapshot, acknowledgedSequence + 1, snapshotIncomplete, changes);
  }

  private void handleAnswer(ReplicationBatch batch, Optional<ReplicationBatch.Ack> answer) {
    if (!active || batch.snapshot() != snapshot) {
      return;
    }
    awaitingAcknowledgement = false;
    if (answer.isEmpty()) {
      listener.failed("no answer to the batch");
      return;
    }
    ReplicationBatch.Ack ack = answer.get();
    if (!peerRunId.isEmpty() && !peerRunId.equals(ack.runId())) {
      listener.failed("peer was restarted");
    } else if (!ack.accepted() || ack.throughSequence() < batch.lastSequence()) {
      listener.failed("peer did not accept the batch");
    } else {
      peerRunId = ack.runId();
      acknowledgedSequence = batch.lastSequence();
      listener.acknowledged();
    }
  }
}
