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
 * Confirms with the state service that what the replica shows of a job is current. Confirmations
 * are gathered: one transaction without writes compares the versions of many jobs, and those that
 * differ are read. A request whose job cannot be confirmed is answered at once that the service is
 * unavailable: nothing waits for an outage to end.
 */
final class JobConfirmation {
  private static final int COMPARES_PER_WRITE = 4;

  /** Runs {@code found} with the job as it is now, or {@code absent} if there is none. */
  private record Pending(long exchange, String id, Consumer<Job> found, Runnable absent) {
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
  private List<Pending> waiting = new ArrayList<>();
  private boolean underWay;
  private long nextMicros;
  private long now;

  JobConfirmation(Settings settings, EffectSink sink, Replica replica, JobAnswers answers) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.answers = answers;
  }

  /**
   * Runs {@code found} or {@code absent} once the job's state is confirmed; else the exchange is
   * answered as unavailable.
   */
  void confirm(long exchange, String id, Consumer<Job> found, Runnable absent) {
    waiting.add(new Pending(exchange, id, found, absent));
    tick(now);
  }

  /** The same, by reading the job's key at once. */
  void read(long exchange, String id, Consumer<Job> found, Runnable absent) {
    read(new Pending(exchange, id, found, absent));
  }

  /** When the next transaction may be sent; far away when none is needed. */
  long dueMicros() {
    return underWay || waiting.isEmpty() ? Long.MAX_VALUE : nextMicros;
  }

  /** Sends a transaction for what is waiting, once that is due and none is under way. */
  void tick(long nowMicros) {
    now = nowMicros;
    if (underWay || waiting.isEmpty() || now < nextMicros) {
      return;
    }
    List<Pending> batch = new ArrayList<>();
    List<Request.Condition> compares = takeBatch(batch);
    underWay = true;
    nextMicros = now + settings.batchDelayMicros();
    sink.call(
        new Request.StoreTransaction(compares, List.of()),
        reply -> {
          underWay = false;
          finish(batch, reply);
        });
  }

  /** Moves to the batch what one transaction can compare; each job is compared once. */
  private List<Request.Condition> takeBatch(List<Pending> batch) {
    int maxCompares = settings.stateServiceLimits().maxWritesPerTransaction() * COMPARES_PER_WRITE;
    Map<String, Long> versions = new LinkedHashMap<>();
    List<Pending> later = new ArrayList<>();
    for (Pending pending : waiting) {
      String id = pending.id();
      if (versions.size() < maxCompares || versions.containsKey(id)) {
        Job job = replica.job(id);
        versions.put(id, job == null ? 0 : job.version());
        batch.add(pending);
      } else {
        later.add(pending);
      }
    }
    waiting = later;
    List<Request.Condition> compares = new ArrayList<>();
    versions.forEach(
        (id, version) -> compares.add(new Request.Condition(StateKeys.job(id), version)));
    return compares;
  }

  private void finish(List<Pending> batch, Reply reply) {
    if (reply instanceof Reply.Applied) {
      batch.forEach(pending -> pending.complete(replica.job(pending.id())));
    } else if (reply instanceof Reply.Conflict conflict) {
      batch.forEach(pending -> resolve(pending, conflict));
    } else {
      batch.forEach(this::unconfirmed);
    }
  }

  /**
   * A job whose version differs is read. The others are compared again: the list of failed
   * conditions need not be complete.
   */
  private void resolve(Pending pending, Reply.Conflict conflict) {
    if (conflict.failedKeys().contains(StateKeys.job(pending.id()))) {
      read(pending);
    } else {
      waiting.add(pending);
    }
  }

  private void read(Pending pending) {
    sink.call(
        new Request.StoreGet(StateKeys.job(pending.id())),
        reply -> {
          if (reply instanceof Reply.Found found) {
            replica.apply(found.item());
            pending.complete(replica.job(pending.id()));
          } else if (reply instanceof Reply.Absent) {
            pending.complete(replica.job(pending.id()));
          } else {
            unconfirmed(pending);
          }
        });
  }

  private void unconfirmed(Pending pending) {
    answers.unavailable(pending.exchange(), "cannot confirm");
  }
}
