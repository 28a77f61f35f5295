package org.eiderstair.core.jobs;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.state.Replica;

/**
 * Cancels a job by compare-and-swap on its key. On a version conflict, the key is read and the
 * cancellation is retried a limited number of times. A job in a final state is not changed; the
 * answer contains that state.
 */
final class JobCancellation {
  private static final int MAX_RETRIES = 3;

  private final EffectSink sink;
  private final Replica replica;
  private final JobConfirmation confirmation;
  private final JobAnswers answers;
  private final Consumer<Cancellation> onCommitted;
  private final LongSupplier nowMicros;

  JobCancellation(
      EffectSink sink,
      Replica replica,
      JobConfirmation confirmation,
      JobAnswers answers,
      Consumer<Cancellation> onCommitted,
      LongSupplier nowMicros) {
    this.sink = sink;
    this.replica = replica;
    this.confirmation = confirmation;
    this.answers = answers;
    this.onCommitted = onCommitted;
    this.nowMicros = nowMicros;
  }

  /** Cancels a job and answers the exchange. */
  void cancel(long exchange, String id) {
    cancel(exchange, id, MAX_RETRIES);
  }

  private void cancel(long exchange, String id, int retries) {
    Job job = replica.job(id);
    if (job == null) {
      findAndCancel(exchange, id, retries);
    } else if (!job.isOpen()) {
      answers.job(exchange, job);
    } else {
      commit(exchange, job, retries);
    }
  }

  /** Reads a job that this node does not know, and cancels it if it exists. */
  private void findAndCancel(long exchange, String id, int retries) {
    confirmation.read(
        exchange,
        id,
        found -> {
          if (retries > 0) {
            cancel(exchange, id, retries - 1);
          } else {
            answers.notFound(exchange);
          }
        },
        () -> answers.notFound(exchange));
  }

  private void commit(long exchange, Job job, int retries) {
    String key = StateKeys.job(job.id());
    JobRecord record =
        JobRecord.cancelled(
            job.spec(),
            job.durablyCompletedCount(),
            replica.wallClockMicros(nowMicros.getAsLong()));
    sink.call(
        new Request.StoreTransaction(
            List.of(new Request.Condition(key, job.version())),
            List.of(Request.Write.put(key, record))),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            replica.apply(new Reply.Item(key, record, applied.revision()));
            committed(exchange, job, applied.revision());
          } else if (reply instanceof Reply.Conflict && retries > 0) {
            readAndRetry(exchange, job.id(), retries - 1);
          } else {
            answers.unavailable(exchange, "cannot store");
          }
        });
  }

  private void committed(long exchange, Job job, long revision) {
    sink.info("job=" + job.id() + " cancelled");
    answers.job(exchange, job);
    onCommitted.accept(new Cancellation(job.id(), revision, JobAnswers.completedTasks(job)));
  }

  private void readAndRetry(long exchange, String id, int retries) {
    confirmation.read(
        exchange, id, found -> cancel(exchange, id, retries), () -> cancel(exchange, id, retries));
  }
}
