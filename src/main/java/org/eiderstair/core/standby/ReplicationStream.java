package org.eiderstair.core.standby;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.eiderstair.core.message.ReplicationBatch;

/**
 * The numbered changes on their way to one peer, a snapshot first. One batch is on its way at a
 * time; what changes meanwhile goes with the next.
 */
final class ReplicationStream {
  /** Fits well into what a peer takes at once. */
  static final int MAX_BATCH_CHANGES = 400;

  /**
   * So many changes may wait beside a snapshot, whose size is that of the cluster: two minutes of
   * what 4,000 machines launch and end.
   */
  private static final int MAX_QUEUED_CHANGES = 200_000;

  private static final long HEARTBEAT_MICROS = 300_000;

  /** Longer than a healthy standby takes, shorter than anyone notices that launches wait. */
  private static final long ACKNOWLEDGEMENT_TIMEOUT_MICROS = 400_000;

  /** What the stream's owner does when something comes of a batch. */
  interface Listener {
    /** The peer has all changes up to {@link #acknowledgedSequence}. */
    void acknowledged();

    /** The peer cannot be relied on; the stream does not go on by itself. */
    void failed(String reason);
  }

  private final Standby.Host host;
  private final long term;
  private final Listener listener;
  private final ArrayDeque<ReplicationBatch.Change> queue = new ArrayDeque<>();
  private boolean active;
  private String peer;

  /** Empty until the peer has answered. */
  private String peerRunId = "";

  private long snapshot;
  private long snapshotSize;

  /** The peer may be named when it has acknowledged all up to here. */
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

  /** Begins with a snapshot of all that the leader knows; nothing is sent yet. */
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

  /** Forgets what has not been sent; a late acknowledgement changes nothing any more. */
  void stop() {
    queue.clear();
    awaitingAcknowledgement = false;
    active = false;
  }

  void at(long nowMicros) {
    now = nowMicros;
  }

  /** The run of the peer that has answered; empty before its first answer. */
  String peerRunId() {
    return peerRunId;
  }

  /** The sequence number of the last change made. */
  long lastSequence() {
    return lastSequence;
  }

  long acknowledgedSequence() {
    return acknowledgedSequence;
  }

  long unacknowledged() {
    return lastSequence - acknowledgedSequence;
  }

  /** Whether all that was to be known before the peer may be named has been acknowledged. */
  boolean snapshotAcknowledged() {
    return acknowledgedSequence >= snapshotEnd;
  }

  /** From now on all changes so far count as part of the snapshot. */
  void extendSnapshot() {
    snapshotEnd = lastSequence;
  }

  void add(ReplicationBatch.Change change) {
    if (!active) {
      return;
    }
    queue.add(change);
    lastSequence++;
    if (queuedBesideSnapshot() > MAX_QUEUED_CHANGES) {
      listener.failed("too far behind");
    }
  }

  private long queuedBesideSnapshot() {
    long sentSequence = lastSequence - queue.size();
    return lastSequence - Math.max(sentSequence, snapshotSize);
  }

  /** Sends the next batch when it is due, or gives up on one that was not acknowledged in time. */
  void send() {
    if (awaitingAcknowledgement) {
      if (now > sentMicros + ACKNOWLEDGEMENT_TIMEOUT_MICROS) {
        listener.failed("no answer for " + (now - sentMicros) / 1000 + " ms");
      }
      return;
    }
    if (queue.isEmpty() && now < sentMicros + HEARTBEAT_MICROS) {
      return;
    }
    ReplicationBatch batch = nextBatch();
    awaitingAcknowledgement = true;
    sentMicros = now;
    host.send(peer, batch, ack -> answered(batch, ack));
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

  private void answered(ReplicationBatch batch, Optional<ReplicationBatch.Ack> answer) {
    if (!active || batch.snapshot() != snapshot) {
      return;
    }
    awaitingAcknowledgement = false;
    if (answer.isEmpty()) {
      listener.failed("no answer");
      return;
    }
    ReplicationBatch.Ack ack = answer.get();
    if (!peerRunId.isEmpty() && !peerRunId.equals(ack.runId())) {
      listener.failed("it was restarted");
    } else if (!ack.accepted() || ack.throughSequence() < batch.lastSequence()) {
      listener.failed("not accepted");
    } else {
      peerRunId = ack.runId();
      acknowledgedSequence = batch.lastSequence();
      listener.acknowledged();
    }
  }
}
