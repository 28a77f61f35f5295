package org.eiderstair.core;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.record.StandbyRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.standby.RecordRead;
import org.eiderstair.core.standby.RecordWrite;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Connects the leader's side of the standby replication to this node for one term. Provides the
 * state to replicate, the requests to the peer, and the reads and writes of the standby's record.
 * The record is written only while the leader key belongs to this term.
 */
final class StandbyReplication implements Standby.Host {
  private final EffectSink sink;
  private final Replica replica;
  private final Leadership leadership;
  private final WorkerManager workers;
  private final long term;

  StandbyReplication(
      EffectSink sink, Replica replica, Leadership leadership, WorkerManager workers, long term) {
    this.sink = sink;
    this.replica = replica;
    this.leadership = leadership;
    this.workers = workers;
    this.term = term;
  }

  @Override
  public boolean hasCompleteState() {
    return workers.unconfirmed().isEmpty();
  }

  @Override
  public void snapshot(Consumer<ReplicationBatch.Change> each) {
    workers.snapshot(each);
  }

  @Override
  public void send(
      String peer, ReplicationBatch batch, Consumer<Optional<ReplicationBatch.Ack>> callback) {
    sink.call(new Request.PeerReplicate(peer, batch), reply -> callback.accept(toAck(reply)));
  }

  private static Optional<ReplicationBatch.Ack> toAck(Reply reply) {
    return reply instanceof Reply.ReplicationAck received
        ? Optional.of(received.ack())
        : Optional.empty();
  }

  @Override
  public void write(long version, StandbyRecord record, Consumer<RecordWrite> callback) {
    sink.call(
        new Request.StoreTransaction(
            List.of(
                new Request.Condition(StateKeys.LEADER, term),
                new Request.Condition(StateKeys.STANDBY, version)),
            List.of(Request.Write.put(StateKeys.STANDBY, record))),
        reply -> callback.accept(applyWrite(record, reply)));
  }

  private RecordWrite applyWrite(StandbyRecord record, Reply reply) {
    if (reply instanceof Reply.Applied applied) {
      replica.apply(new Reply.Item(StateKeys.STANDBY, record, applied.revision()));
      return new RecordWrite.Written(applied.revision());
    }
    return reply instanceof Reply.Refused
        ? new RecordWrite.NotWritten()
        : new RecordWrite.Uncertain();
  }

  @Override
  public void read(Consumer<RecordRead> callback) {
    sink.call(
        new Request.StoreGet(StateKeys.STANDBY), reply -> callback.accept(toRecordRead(reply)));
  }

  private static RecordRead toRecordRead(Reply reply) {
    if (reply instanceof Reply.Found found) {
      Reply.Item item = found.item();
      return new RecordRead.Found(item.version(), (StandbyRecord) item.value());
    }
    return reply instanceof Reply.Absent ? new RecordRead.Absent() : new RecordRead.Unknown();
  }

  @Override
  public void termTakenOver() {
    leadership.stepDown("the standby has taken over the term");
  }

  @Override
  public void info(String text) {
    sink.info(text);
  }
}
