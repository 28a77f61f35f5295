package org.eiderstair.core.jobs;

import java.util.List;
import java.util.Optional;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.message.Submission;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.record.JobRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.state.Replica;

/**
 * Submits jobs as idempotent requests. The key contains the user's id of the job and is created by
 * compare-and-swap. A repeated submission of an accepted job is answered with that job and never
 * refused, even if its other fields differ or are malformed.
 */
final class JobSubmission {
  private final EffectSink sink;
  private final Replica replica;
  private final SubmissionValidator validator;
  private final JobConfirmation confirmation;
  private final JobAnswers answers;

  JobSubmission(
      EffectSink sink,
      Replica replica,
      SubmissionValidator validator,
      JobConfirmation confirmation,
      JobAnswers answers) {
    this.sink = sink;
    this.replica = replica;
    this.validator = validator;
    this.confirmation = confirmation;
    this.answers = answers;
  }

  /** Accepts or refuses a submission and answers the exchange. */
  void submit(long exchange, Submission submission, long nowMicros) {
    Job known = replica.job(submission.id());
    if (known != null) {
      answerRepeated(exchange, known);
      return;
    }
    Optional<Refusal> refusal = validator.refusal(submission);
    if (refusal.isPresent()) {
      refuseIfNew(exchange, submission.id(), refusal.get());
    } else if (replica.catalog().isEmpty()) {
      answers.unavailable(exchange, "machine types not known yet");
    } else {
      create(exchange, ((Submission.Parsed) submission).spec(), nowMicros);
    }
  }

  private void answerRepeated(long exchange, Job known) {
    if (!known.isOpen()) {
      answers.job(exchange, known);
      return;
    }
    confirmation.confirm(
        exchange,
        known.id(),
        job -> answers.job(exchange, job),
        () -> answers.unavailable(exchange, "conflict"));
  }

  /**
   * Refuses the submission once the state service confirms that the job is new. Another node may
   * have accepted a job of this id.
   */
  private void refuseIfNew(long exchange, String id, Refusal refusal) {
    confirmation.confirm(
        exchange, id, job -> answers.job(exchange, job), () -> answers.refused(exchange, refusal));
  }

  private void create(long exchange, JobSpec spec, long nowMicros) {
    JobRecord record = JobRecord.open(spec, replica.wallClockMicros(nowMicros));
    String key = StateKeys.job(spec.id());
    sink.call(
        new Request.StoreTransaction(
            List.of(Request.Condition.absent(key)), List.of(Request.Write.put(key, record))),
        reply -> {
          if (reply instanceof Reply.Applied applied) {
            replica.apply(new Reply.Item(key, record, applied.revision()));
            logAccepted(spec);
            answers.created(exchange, replica.job(spec.id()));
          } else if (reply instanceof Reply.Conflict) {
            answerCreatedElsewhere(exchange, spec.id());
          } else {
            answers.unavailable(exchange, "cannot store");
          }
        });
  }

  private void answerCreatedElsewhere(long exchange, String id) {
    confirmation.read(
        exchange,
        id,
        job -> answers.job(exchange, job),
        () -> answers.unavailable(exchange, "conflict"));
  }

  private void logAccepted(JobSpec spec) {
    sink.info(
        "job="
            + spec.id()
            + " accepted: tasks="
            + spec.tasks()
            + " cpus_per_task="
            + spec.cpus()
            + " memory_gb_per_task="
            + spec.memoryGb()
            + " priority="
            + spec.priority()
            + " class="
            + spec.jobClass()
            + " team="
            + spec.team());
  }
}
