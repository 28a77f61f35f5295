package org.eiderstair.core.jobs;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * Confirms with the state service that a job in the replica is current.
 *
 * <p>Confirmations are batched. One transaction without writes compares the versions of many jobs,
 * and each job whose version differs is read. A request whose job cannot be confirmed is answered
 * as unavailable at once. No request waits for an outage to end.
 */
final class JobConfirmation {
  /** Version comparisons in one transaction for each write that a transaction may hold. */
  private static final int COMPARES_PER_WRITE = 4;

  /** A request that runs {@code found} with the current job, or {@code absent} if there is none. */
  private record PendingRequest(long exchange, String id, Consumer<Job> found, Runnable absent) {
    void complete(Job job) {
      if (job == null) {
        absent.run();
      } else {
        found.accept(job);
      }
    }
  }

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final JobAnswers answers;
  private List<PendingRequest> waiting = new ArrayList<>();
  private boolean requestInFlight;
  private long nextMicros;
  private long now;

  JobConfirmation(Settings settings, EffectSink sink, Replica replica, JobAnswers answers) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.answers = answers;
  }

  /**
   * Runs {@code found} or {@code absent} once the state of the job is confirmed. If it cannot be
   * confirmed, answers the exchange as unavailable instead.
   */
  void confirm(long exchange, String id, Consumer<Job> found, Runnable absent) {
    waiting.add(new PendingRequest(exchange, id, found, absent));
    tick(now);
  }

  /**
   * Reads the key of the job at once, and runs {@code found} or {@code absent}. If the read fails,
   * answers the exchange as unavailable instead.
   */
  void read(long exchange, String id, Consumer<Job> found, Runnable absent) {
    read(new PendingRequest(exchange, id, found, absent));
  }

  /** Returns when the next transaction may be sent; {@link Long#MAX_VALUE} if none is needed. */
  long dueMicros() {
    return requestInFlight || waiting.isEmpty() ? Long.MAX_VALUE : nextMicros;
  }

  /** Sends a transaction for the waiting requests if it is due and none is in flight. */
  void tick(long nowMicros) {
    now = nowMicros;
    if (requestInFlight || waiting.isEmpty() || now < nextMicros) {
      return;
    }
    List<PendingRequest> batch = new ArrayList<>();
    List<Request.Condition> compares = takeBatch(batch);
    requestInFlight = true;
    nextMicros = now + settings.batchDelayMicros();
    sink.call(
        new Request.StoreTransaction(compares, List.of()),
        reply -> {
          requestInFlight = false;
          finish(batch, reply);
        });
  }

  /**
   * Moves as many waiting requests to the batch as one transaction can compare. Each job is
   * compared once.
   *
   * @return the conditions of the transaction
   */
  private List<Request.Condition> takeBatch(List<PendingRequest> batch) {
    int maxCompares = settings.stateServiceLimits().maxWritesPerTransaction() * COMPARES_PER_WRITE;
    Map<String, Long> versions = new LinkedHashMap<>();
    List<PendingRequest> remaining = new ArrayList<>();
    for (PendingRequest pending : waiting) {
      String id = pending.id();
      if (versions.size() < maxCompares || versions.containsKey(id)) {
        Job job = replica.job(id);
        versions.put(id, job == null ? 0 : job.version());
        batch.add(pending);
      } else {
        remaining.add(pending);
      }
    }
    waiting = remaining;
    List<Request.Condition> compares = new ArrayList<>();
    versions.forEach(
        (id, version) -> compares.add(new Request.Condition(StateKeys.job(id), version)));
    return compares;
  }

  private void finish(List<PendingRequest> batch, Reply reply) {
    if (reply instanceof Reply.Applied) {
      batch.forEach(pending -> pending.complete(replica.job(pending.id())));
    } else if (reply instanceof Reply.Conflict conflict) {
      batch.forEach(pending -> resolve(pending, conflict));
    } else {
      batch.forEach(this::answerUnconfirmed);
    }
  }

  /**
   * Reads a job whose version differs. The other jobs are compared again, since the list of failed
   * conditions may be incomplete.
   */
  private void resolve(PendingRequest pending, Reply.Conflict conflict) {
    if (conflict.failedKeys().contains(StateKeys.job(pending.id()))) {
      read(pending);
    } else {
      waiting.add(pending);
    }
  }

  private void read(PendingRequest pending) {
    sink.call(
        new Request.StoreGet(StateKeys.job(pending.id())),
        reply -> {
          if (reply instanceof Reply.Found found) {
            replica.apply(found.item());
            pending.complete(replica.job(pending.id()));
          } else if (reply instanceof Reply.Absent) {
            pending.complete(replica.job(pending.id()));
          } else {
            answerUnconfirmed(pending);
          }
        });
  }

  private void answerUnconfirmed(PendingRequest pending) {
    answers.unavailable(pending.exchange(), "cannot confirm");
  }
}
