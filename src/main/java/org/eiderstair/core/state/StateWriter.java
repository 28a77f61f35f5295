package org.eiderstair.core.state;

import java.util.List;
import java.util.function.Consumer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.record.BarrierRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.StoredValue;
import org.eiderstair.core.settings.Settings;

/**
 * Performs the durable writes of a leader: finished jobs, progress, registered workers, rentals and
 * releases. One transaction is in flight at a time. Each transaction requires the leader key of
 * this term, the known version of every key that it changes, and the known version of the barrier
 * ({@link StateKeys#BARRIER}). Each transaction is built from the writes still pending, so after a
 * lost answer the writer only has to read the versions again.
 *
 * <p>A transaction without an answer may be executed at any later time. The versions of its keys do
 * not prevent this. If a transaction creates a key, its condition holds again after later
 * transactions have created and removed the key. Such a transaction would restore the registration
 * of a machine that was terminated long ago. The writer therefore first writes the barrier again.
 * All earlier transactions of this term then fail, and reads return the final outcome.
 */
public final class StateWriter {
  /**
   * Changes close together share a transaction. One transaction per change would use up the
   * requests that the state service accepts.
   */
  private static final long MIN_BATCH_INTERVAL_MICROS = 60_000;

  private static final long RETRY_DELAY_MICROS = 500_000;

  /**
   * This writer's share of the write rate that the state service allows. This node also writes
   * outside this class.
   */
  private static final double WRITE_RATE_SHARE = 0.7;

  /** The records of rentals and releases fill at most 1/divisor of a transaction. */
  private static final int PROVISIONING_BATCH_DIVISOR = 4;

  private enum State {
    /** No request is in flight; the next transaction may be sent. */
    IDLE,

    /** Waits for the answer to a transaction. */
    WRITING,

    /** Writes the barrier after a transaction got no answer. */
    RENEWING_BARRIER,

    /** Reads versions after a conflict or after a write of the barrier. */
    READING
  }

  /** Receives notifications of durable writes. */
  public interface Listener {
    /** Called when the final state of the job is durable. */
    void jobFinished(Job job);

    /** Called when the registration of the worker is durable. */
    void workerRegistered(String machine);
  }

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final long term;
  private final RateBudget writeBudget;
  private final PendingProvisioningRecords provisioningRecords;
  private final PendingJobs jobs;
  private final PendingRegistrations registrations;
  private State state = State.IDLE;

  /**
   * Keys of a transaction with unknown outcome. While there are any, the barrier is the only key
   * that is written.
   */
  private List<String> uncertainKeys = List.of();

  private boolean closed;
  private long now;
  private long notBeforeMicros;
  private int pendingReads;
  private boolean readFailed;

  public StateWriter(
      Settings settings, EffectSink sink, Replica replica, long term, Listener listener) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.term = term;
    this.writeBudget =
        new RateBudget(settings.stateServiceLimits().writesPerSecond() * WRITE_RATE_SHARE);
    this.provisioningRecords =
        new PendingProvisioningRecords(
            replica,
            Math.max(
                1,
                settings.stateServiceLimits().maxWritesPerTransaction()
                    / PROVISIONING_BATCH_DIVISOR));
    this.jobs = new PendingJobs(job -> listener.jobFinished(job));
    this.registrations =
        new PendingRegistrations(replica, machine -> listener.workerRegistered(machine));
  }

  /** Stops all further writes of this term. */
  public void close() {
    closed = true;
  }

  /** Schedules the write of the final state of a job whose tasks are all done. */
  public void writeFinished(Job job) {
    jobs.addFinished(job);
  }

  /** Schedules the write of the progress of a job. */
  public void writeProgress(Job job) {
    jobs.addProgressed(job);
  }

  /** Schedules the registration of a worker, before tasks are launched on its machine. */
  public void register(Machine machine) {
    registrations.register(machine);
  }

  /** Schedules the removal of the registration of a worker whose machine is terminated. */
  public void unregister(String machine) {
    registrations.unregister(machine);
  }

  /**
   * Schedules the write of the record of a rental or release. A later value for the same key
   * replaces one that is still pending.
   *
   * @param onDurable runs once this value or a later one is durable
   */
  public void putProvisioningRecord(String key, StoredValue value, Runnable onDurable) {
    provisioningRecords.put(key, value, onDurable);
  }

  /**
   * Schedules the removal of the record of a rental or release.
   *
   * @param onDurable runs once this removal or a later value is durable
   */
  public void removeProvisioningRecord(String key, Runnable onDurable) {
    provisioningRecords.put(key, null, onDurable);
  }

  /**
   * Renews the barrier when required; otherwise sends the next transaction within the write budget.
   */
  public void tick(long nowMicros) {
    now = nowMicros;
    if (closed || state != State.IDLE || now < notBeforeMicros) {
      return;
    }
    if (!uncertainKeys.isEmpty()) {
      renewBarrier();
      return;
    }
    notBeforeMicros = now + MIN_BATCH_INTERVAL_MICROS;
    WriteBatch batch = nextBatch();
    if (!batch.hasWrites()) {
      return;
    }
    if (batch.isRepeatable()) {
      batch.put(StateKeys.BARRIER, new BarrierRecord(term));
    }
    writeBudget.take(batch.writes().size());
    transitionTo(State.WRITING);
    send(batch, reply -> handleTransactionReply(batch, reply));
  }

  /** Returns a batch of pending writes within the limits, the most urgent ones first. */
  private WriteBatch nextBatch() {
    WriteBatch batch =
        emptyBatch(
            (int)
                Math.min(
                    settings.stateServiceLimits().maxWritesPerTransaction(),
                    writeBudget.available(now)));
    provisioningRecords.addTo(batch);
    jobs.addFinishedTo(batch);
    registrations.addTo(batch);
    jobs.addProgressTo(batch, now);
    return batch;
  }

  private WriteBatch emptyBatch(int maxWrites) {
    WriteBatch batch = new WriteBatch(maxWrites);
    batch.require(StateKeys.LEADER, term);
    Reply.Item barrier = replica.coordinationRecord(StateKeys.BARRIER);
    batch.require(
        StateKeys.BARRIER, barrier == null ? Request.Condition.ABSENT : barrier.version());
    return batch;
  }

  /** Sets the state; all state changes go through this method. */
  private void transitionTo(State next) {
    state = next;
  }

  private void send(WriteBatch batch, Consumer<Reply> callback) {
    long sentMicros = now;
    sink.call(
        new Request.StoreTransaction(batch.conditions(), batch.writes()),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            replica.recordAnswer(sentMicros, applied.revision());
          }
          callback.accept(reply);
        });
  }

  private void handleTransactionReply(WriteBatch batch, Reply reply) {
    transitionTo(State.IDLE);
    if (closed) {
      return;
    }
    if (reply instanceof Reply.Applied applied) {
      applyToReplica(batch, applied.revision());
      batch.complete();
    } else if (reply instanceof Reply.Conflict conflict) {
      sink.debug(
          "transaction failed on a version conflict: keys="
              + conflict.failedKeys()
              + " term="
              + term);
      readVersions(conflict.failedKeys());
    } else if (reply instanceof Reply.NoResponse) {
      uncertainKeys = batch.conditions().stream().map(Request.Condition::key).toList();
    } else {
      notBeforeMicros = now + RETRY_DELAY_MICROS;
    }
  }

  private void applyToReplica(WriteBatch batch, long revision) {
    for (Request.Write write : batch.writes()) {
      replica.apply(new Reply.Item(write.key(), write.value(), revision));
    }
  }

  /**
   * Writes the barrier. If an earlier write of the barrier got no answer, both writes require the
   * same version, so only one of them can succeed.
   */
  private void renewBarrier() {
    transitionTo(State.RENEWING_BARRIER);
    WriteBatch batch = emptyBatch(1);
    batch.put(StateKeys.BARRIER, new BarrierRecord(term));
    send(batch, reply -> handleBarrierReply(batch, reply));
  }

  private void handleBarrierReply(WriteBatch batch, Reply reply) {
    if (closed) {
      return;
    }
    if (reply instanceof Reply.Applied applied) {
      applyToReplica(batch, applied.revision());
      List<String> keys = uncertainKeys;
      uncertainKeys = List.of();
      readVersions(keys);
      return;
    }
    notBeforeMicros = now + RETRY_DELAY_MICROS;
    readVersions(reply instanceof Reply.Refused ? List.of() : List.of(StateKeys.BARRIER));
  }

  /** Reads the keys that may have changed, before the next transaction. */
  private void readVersions(List<String> keys) {
    if (keys.isEmpty()) {
      transitionTo(State.IDLE);
      return;
    }
    transitionTo(State.READING);
    pendingReads = keys.size();
    readFailed = false;
    for (String key : keys) {
      sink.call(new Request.StoreGet(key), reply -> handleVersionReply(key, reply));
    }
  }

  private void handleVersionReply(String key, Reply reply) {
    if (closed) {
      return;
    }
    if (reply instanceof Reply.Found found) {
      replica.apply(found.item());
    } else if (reply instanceof Reply.Absent absent) {
      replica.applyAbsence(key, absent.revision());
    } else {
      readFailed = true;
    }
    pendingReads--;
    if (pendingReads == 0) {
      transitionTo(State.IDLE);
      if (readFailed) {
        notBeforeMicros = now + RETRY_DELAY_MICROS;
      }
    }
  }
}
