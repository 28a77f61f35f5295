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
 * The leader's durable writes: finished jobs, progress, registered workers, rentals and releases.
 * One transaction at a time; each demands the leader key of this term, the known version of every
 * key that it changes, and that of the barrier. What is still to be written is worked out anew each
 * time, so a lost answer needs only fresh versions.
 *
 * <p>A transaction without an answer may be carried out at any later time. Versions alone do not
 * stop it: one that creates a key holds again once that key was created and removed by later ones,
 * and would bring back a machine that was terminated long ago. So the barrier is written anew
 * first; from then on all earlier transactions of this term fail, and what is read is the truth.
 */
public final class StateWriter {
  /** Changes that come close together go in one transaction: single ones would spend requests. */
  private static final long GATHER_MICROS = 60_000;

  private static final long RETRY_MICROS = 500_000;

  /**
   * Of the rate of writes that the state service allows: this node also writes outside this class.
   */
  private static final double SHARE_OF_WRITES = 0.7;

  /** Of a transaction, for the records of rentals and releases. */
  private static final int DUTIES_PART = 4;

  /**
   * IDLE may write; WRITING waits for an answer; RENEWING_BARRIER writes the barrier after none
   * came; READING fetches versions after a conflict or the barrier.
   */
  private enum State {
    IDLE,
    WRITING,
    RENEWING_BARRIER,
    READING
  }

  /** Is called when a write is durable. */
  public interface Listener {
    /** The job's final state is durable. */
    void jobFinished(Job job);

    /** The worker's registration is durable. */
    void workerRegistered(String machine);
  }

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final long term;
  private final RateBudget writes;
  private final PendingDuties duties;
  private final PendingJobs jobs;
  private final PendingRegistrations registrations;
  private State state = State.IDLE;

  /** Keys of a transaction whose fate is unknown: nothing is written before the barrier is. */
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
    this.writes = new RateBudget(settings.stateServiceLimits().writesPerSecond() * SHARE_OF_WRITES);
    this.duties =
        new PendingDuties(
            replica,
            Math.max(1, settings.stateServiceLimits().maxWritesPerTransaction() / DUTIES_PART));
    this.jobs = new PendingJobs(job -> listener.jobFinished(job));
    this.registrations =
        new PendingRegistrations(replica, machine -> listener.workerRegistered(machine));
  }

  /** Nothing is written any more in this term. */
  public void close() {
    closed = true;
  }

  /** All tasks of the job are done: writes its final state. */
  public void writeFinished(Job job) {
    jobs.finished(job);
  }

  /** The job has progress that is to be written. */
  public void writeProgress(Job job) {
    jobs.progressed(job);
  }

  /** Writes a worker's registration, before anything is launched on it. */
  public void register(Machine machine) {
    registrations.register(machine);
  }

  /** Removes a worker's registration: the machine is terminated. */
  public void unregister(String machine) {
    registrations.unregister(machine);
  }

  /**
   * Writes the record of a rental or release; the latest value counts.
   *
   * @param onDurable runs once this value or a later one is durable
   */
  public void putDuty(String key, StoredValue value, Runnable onDurable) {
    duties.put(key, value, onDurable);
  }

  /** Removes the record of a rental or release. */
  public void removeDuty(String key, Runnable onDurable) {
    duties.put(key, null, onDurable);
  }

  /** Writes what is due, within the budget. */
  public void tick(long nowMicros) {
    now = nowMicros;
    if (closed || state != State.IDLE || now < notBeforeMicros) {
      return;
    }
    if (!uncertainKeys.isEmpty()) {
      renewBarrier();
      return;
    }
    notBeforeMicros = now + GATHER_MICROS;
    WriteBatch batch = nextBatch();
    if (!batch.hasWrites()) {
      return;
    }
    writes.take(batch.writes().size());
    transitionTo(State.WRITING);
    send(batch, reply -> answered(batch, reply));
  }

  /** What is most urgent goes first, as far as there is room. */
  private WriteBatch nextBatch() {
    WriteBatch batch =
        emptyBatch(
            (int)
                Math.min(
                    settings.stateServiceLimits().maxWritesPerTransaction(),
                    writes.available(now)));
    duties.addTo(batch);
    jobs.addFinishedTo(batch);
    registrations.addTo(batch);
    jobs.addProgressTo(batch, now);
    return batch;
  }

  private WriteBatch emptyBatch(int room) {
    WriteBatch batch = new WriteBatch(room);
    batch.require(StateKeys.LEADER, term);
    Reply.Item barrier = replica.dutyRecord(StateKeys.BARRIER);
    batch.require(
        StateKeys.BARRIER, barrier == null ? Request.Condition.ABSENT : barrier.version());
    return batch;
  }

  /** The one function for every change of state. */
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

  private void answered(WriteBatch batch, Reply reply) {
    transitionTo(State.IDLE);
    if (closed) {
      return;
    }
    if (reply instanceof Reply.Applied applied) {
      applyToReplica(batch, applied.revision());
      batch.complete();
    } else if (reply instanceof Reply.Conflict conflict) {
      sink.debug("write conflict keys=" + conflict.failedKeys() + ", term=" + term);
      readVersions(conflict.failedKeys());
    } else if (reply instanceof Reply.NoResponse) {
      uncertainKeys = batch.conditions().stream().map(Request.Condition::key).toList();
    } else {
      notBeforeMicros = now + RETRY_MICROS;
    }
  }

  private void applyToReplica(WriteBatch batch, long revision) {
    for (Request.Write write : batch.writes()) {
      replica.apply(new Reply.Item(write.key(), write.value(), revision));
    }
  }

  /**
   * A barrier without an answer is written again under the version that it was to replace: only one
   * of the two can hold.
   */
  private void renewBarrier() {
    transitionTo(State.RENEWING_BARRIER);
    WriteBatch batch = emptyBatch(1);
    batch.put(StateKeys.BARRIER, new BarrierRecord(term));
    send(batch, reply -> barrierAnswered(batch, reply));
  }

  private void barrierAnswered(WriteBatch batch, Reply reply) {
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
    notBeforeMicros = now + RETRY_MICROS;
    readVersions(reply instanceof Reply.Refused ? List.of() : List.of(StateKeys.BARRIER));
  }

  /** Reads what may have changed before anything is written again. */
  private void readVersions(List<String> keys) {
    if (keys.isEmpty()) {
      transitionTo(State.IDLE);
      return;
    }
    transitionTo(State.READING);
    pendingReads = keys.size();
    readFailed = false;
    for (String key : keys) {
      sink.call(new Request.StoreGet(key), reply -> versionRead(key, reply));
    }
  }

  private void versionRead(String key, Reply reply) {
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
        notBeforeMicros = now + RETRY_MICROS;
      }
    }
  }
}
