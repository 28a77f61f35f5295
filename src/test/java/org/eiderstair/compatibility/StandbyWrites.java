package org.eiderstair.compatibility;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StandbyRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.standby.RecordRead;
import org.eiderstair.core.standby.RecordWrite;
import org.eiderstair.core.standby.RecoveredMachine;
import org.eiderstair.core.standby.Standby;

/**
 * Produces the records of the standby: one that names the peer, one that names no node, and one
 * after a takeover.
 */
final class StandbyWrites {
  private static final long TERM = 70;
  private static final List<ReplicationBatch.Change> CHANGES =
      List.of(new ReplicationBatch.Change(true, "m-1", 3, "job-1", 0, 2));

  private StandbyWrites() {}

  /**
   * The host of a leader whose only peer acknowledges every batch while {@link #acknowledges} is
   * set. The state service applies each write, unless {@link #stored} is set: then the outcome of
   * writes is uncertain, and reads return that record.
   */
  private static final class Host implements Standby.Host {
    final List<Request.Write> writes = new ArrayList<>();
    boolean acknowledges = true;
    Reply.Item stored;
    boolean takenOver;

    @Override
    public boolean hasCompleteState() {
      return true;
    }

    @Override
    public void snapshot(Consumer<ReplicationBatch.Change> each) {
      CHANGES.forEach(each);
    }

    @Override
    public void send(
        String peer, ReplicationBatch batch, Consumer<Optional<ReplicationBatch.Ack>> callback) {
      callback.accept(
          acknowledges
              ? Optional.of(new ReplicationBatch.Ack("run-b", true, batch.lastSequence()))
              : Optional.empty());
    }

    @Override
    public void write(long version, StandbyRecord value, Consumer<RecordWrite> callback) {
      writes.add(Request.Write.put(StateKeys.STANDBY, value));
      callback.accept(
          stored == null ? new RecordWrite.Written(version + 1) : new RecordWrite.Uncertain());
    }

    @Override
    public void read(Consumer<RecordRead> callback) {
      callback.accept(new RecordRead.Found(stored.version(), value(stored)));
    }

    @Override
    public void termTakenOver() {
      takenOver = true;
    }

    @Override
    public void info(String text) {}
  }

  static List<Request.Write> writes() {
    Standby leader = new Standby("a", "run-a", text -> {});
    Host host = new Host();
    leader.startTerm(host, TERM, List.of("b"), 0);
    for (int i = 1; i <= 5; i++) {
      leader.tick(i * 5_000_000L);
    }
    host.acknowledges = false;
    leader.tick(30_000_000);
    List<Request.Write> writes = new ArrayList<>(host.writes);
    writes.add(
        new Request.Write(
            StateKeys.STANDBY, ((StandbyRecord) host.writes.get(0).value()).withTakeover(), 0));
    return writes;
  }

  static StandbyRecord value(Reply.Item item) {
    return (StandbyRecord) item.value();
  }

  /** Returns whether a leader that reads this record stops leading. */
  static boolean endsTerm(Reply.Item item) {
    Host host = new Host();
    host.stored = item;
    Standby leader = new Standby("a", "run-a", text -> {});
    leader.startTerm(host, TERM, List.of("b"), 9);
    leader.tick(1_000_000);
    return host.takenOver;
  }

  /** A peer that holds the complete state that the leader of the term has sent. */
  static final class Follower {
    private final Standby standby = new Standby("b", "run-b", text -> {});

    Follower() {
      standby.receive(new ReplicationBatch(TERM, 1, 1, false, CHANGES), true, 0);
    }

    Optional<Map<String, RecoveredMachine>> recover(Reply.Item item) {
      return standby.recover(90, 90, StandbyWrites.value(item));
    }
  }
}
