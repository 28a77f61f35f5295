package org.eiderstair.core.standby;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.ReplicationBatch;

/**
 * The leader's side: sends changes to one peer at a time, names it in the record once it has all,
 * and from before that lets a launch go only after it has been acknowledged.
 */
final class ReplicationPrimary {
  /** Fits well into what a peer takes at once. */
  private static final int MAX_CHANGES = 400;

  private static final long HEARTBEAT_MICROS = 300_000;

  /** Longer than a healthy standby takes, shorter than anyone notices that launches wait. */
  private static final long SLOW_MICROS = 400_000;

  private static final long RETRY_MICROS = 2_000_000;
  private static final long TXN_RETRY_MICROS = 200_000;
  private static final int MAX_QUEUED = 200_000;

  /**
   * CLEARING takes the name out of the record of an earlier term; nothing is launched until then,
   * since its standby knows nothing of it. ALONE has no standby. FILLING sends all that is known;
   * launches are free. ENLISTING holds launches until they are acknowledged, and writes the record
   * once all before them is. IN_SYNC has it. STRIKING takes the name out; nothing is launched until
   * then. ENDED.
   */
  enum State {
    CLEARING,
    ALONE,
    FILLING,
    ENLISTING,
    IN_SYNC,
    STRIKING,
    ENDED
  }

  private final Standby.Host host;
  private final long term;
  private final List<String> peers;
  private State state;
  private long now;
  private int peer;
  private String run = "";
  private long fillings;
  private final ArrayDeque<ReplicationBatch.Change> queue = new ArrayDeque<>();

  /** Numbers of the last change made, and of the last that was acknowledged. */
  private long made;

  private long acked;
  private long snapshotEnd;
  private boolean sending;
  private long sentMicros;
  private long nextTryMicros;
  private int failures;
  private boolean writing;
  private long nextWriteMicros;

  /** The record's version as this leader knows it; 0 when there is none. */
  private long recordVersion;

  private final ArrayDeque<Held> held = new ArrayDeque<>();

  /**
   * Something that launches, the number that must have been acknowledged before, and what to do
   * when it may not leave.
   */
  private record Held(long number, Runnable launch, Runnable withhold) {}

  ReplicationPrimary(Standby.Host host, long term, List<String> peers, long recordVersion) {
    this.host = host;
    this.term = term;
    this.peers = peers;
    this.recordVersion = recordVersion;
    this.state = recordVersion == 0 ? State.ALONE : State.CLEARING;
  }

  State state() {
    return state;
  }

  String standby() {
    return state == State.IN_SYNC ? peers.get(peer) : null;
  }

  /** The one function for every change of state. */
  private void become(State next, String why) {
    if (state == State.ENDED) {
      return;
    }
    host.info(
        "standby "
            + state
            + " -> "
            + next
            + ", term="
            + term
            + ", "
            + (peers.isEmpty() ? "no peer" : peers.get(peer))
            + ": "
            + why);
    state = next;
    if (next == State.ALONE) {
      queue.clear();
      // Where no peer can follow, the whole picture must not be made every two seconds for nothing.
      nextTryMicros = now + (RETRY_MICROS << Math.min(failures, 4));
      failures++;
      peer = peers.isEmpty() ? 0 : (peer + 1) % peers.size();
    }
    if (!admitsLaunches()) {
      withholdAll();
    }
  }

  void end() {
    become(State.ENDED, "out of office");
  }

  /**
   * Whether a launch may leave, at once or after an acknowledgement. Not while the record is being
   * written to name nobody: an outage of the state service makes that take as long as it lasts, and
   * what comes with a launch must not wait for it.
   */
  boolean admitsLaunches() {
    return switch (state) {
      case ALONE, FILLING, ENLISTING, IN_SYNC -> true;
      case CLEARING, STRIKING, ENDED -> false;
    };
  }

  private boolean awaitsAcknowledgements() {
    return state == State.ENLISTING || state == State.IN_SYNC;
  }

  void replicate(ReplicationBatch.Change change) {
    if (state == State.FILLING || awaitsAcknowledgements()) {
      queue.add(change);
      made++;
      if (queue.size() > MAX_QUEUED) {
        fail("too far behind");
      }
    }
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
      held.add(new Held(made, launch, withhold));
    } else {
      launch.run();
    }
  }

  private void withholdAll() {
    while (!held.isEmpty()) {
      held.poll().withhold().run();
    }
  }

  private void release(long upTo) {
    while (!held.isEmpty() && held.peek().number() <= upTo) {
      held.poll().launch().run();
    }
  }

  void tick(long nowMicros) {
    now = nowMicros;
    switch (state) {
      case CLEARING, STRIKING -> unregister();
      case ALONE -> {
        if (!peers.isEmpty() && now >= nextTryMicros && host.hasCompleteState()) {
          fill();
        }
      }
      case FILLING -> {
        // An answer first, even where there is nothing to tell: it says which run of the peer the
        // record is to name. Seen on the bench: a record written before it named none, and nobody
        // could inherit.
        if (!run.isEmpty() && acked >= snapshotEnd && made - acked <= MAX_CHANGES) {
          snapshotEnd = made;
          become(State.ENLISTING, "has all but " + (made - acked));
        }
        send();
      }
      case ENLISTING -> {
        send();
        if (acked >= snapshotEnd) {
          enlist();
        }
      }
      case IN_SYNC -> send();
      case ENDED -> {}
    }
  }

  private void fill() {
    queue.clear();
    host.snapshot(queue::add);
    fillings++;
    acked = 0;
    made = queue.size();
    snapshotEnd = made;
    run = "";
    sending = false;
    become(State.FILLING, made + " changes");
    send();
  }

  private void send() {
    if (sending) {
      if (now > sentMicros + SLOW_MICROS) {
        fail("no answer for " + (now - sentMicros) / 1000 + " ms");
      }
      return;
    }
    if (queue.isEmpty() && now < sentMicros + HEARTBEAT_MICROS) {
      return;
    }
    List<ReplicationBatch.Change> changes = new ArrayList<>(Math.min(queue.size(), MAX_CHANGES));
    while (changes.size() < MAX_CHANGES && !queue.isEmpty()) {
      changes.add(queue.poll());
    }
    ReplicationBatch batch =
        new ReplicationBatch(
            term, fillings, acked + 1, acked + changes.size() < snapshotEnd, changes);
    sending = true;
    sentMicros = now;
    long filling = fillings;
    host.send(peers.get(peer), batch, ack -> answered(filling, batch, ack));
  }

  private void answered(long filling, ReplicationBatch batch, ReplicationBatch.Ack ack) {
    if (filling != fillings || !(state == State.FILLING || awaitsAcknowledgements())) {
      return;
    }
    sending = false;
    boolean same = ack != null && (run.isEmpty() || run.equals(ack.run()));
    if (ack == null || !ack.accepted() || !same || ack.upTo() < batch.last()) {
      fail(ack == null ? "no answer" : same ? "not accepted" : "it was restarted");
      return;
    }
    run = ack.run();
    acked = batch.last();
    if (awaitsAcknowledgements()) {
      release(acked);
    }
  }

  private void fail(String why) {
    sending = false;
    if (state == State.FILLING) {
      become(State.ALONE, why);
    } else {
      queue.clear();
      become(State.STRIKING, why);
      unregister();
    }
  }

  private void enlist() {
    write(
        peers.get(peer),
        () -> {
          if (state == State.ENLISTING) {
            failures = 0;
            become(State.IN_SYNC, "named in the record");
          }
        });
  }

  /**
   * Writes a record that names nobody; only then may launches go that no standby has acknowledged.
   * Found by the search of small cases: that the record is not there proves nothing, since a newer
   * leader may have dropped it, or a write of this leader that names a standby may yet arrive. A
   * newer version, under this leader's key, makes both fail.
   */
  private void unregister() {
    write("", () -> become(State.ALONE, "the record names nobody"));
  }

  private void write(String name, Runnable written) {
    if (writing || now < nextWriteMicros) {
      return;
    }
    writing = true;
    Map<String, Object> record = new LinkedHashMap<>();
    record.put("epoch", term);
    record.put("node", name);
    record.put("run", run);
    host.write(
        recordVersion,
        record,
        version -> {
          writing = false;
          if (version > 0) {
            recordVersion = version;
            written.run();
            return;
          }
          nextWriteMicros = now + TXN_RETRY_MICROS;
          if (version < 0) {
            reread();
          }
        });
  }

  /** A write failed on a version, or its fate is not known. */
  private void reread() {
    writing = true;
    host.read(
        (version, record) -> {
          writing = false;
          if (version >= 0) {
            if (record != null && Boolean.TRUE.equals(record.get("claimed"))) {
              // The standby has taken this term for over: nothing may be launched any more,
              // whatever the lease says.
              end();
              host.termTakenOver();
              return;
            }
            recordVersion = version;
          }
          nextWriteMicros = now;
        });
  }
}
