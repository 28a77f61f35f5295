package org.eiderstair.core.jobs;

import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Job;

/** Sends users the answers to their requests about jobs. */
final class JobAnswers {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;

  /** The answer has no retry delay. */
  private static final int NO_RETRY = 0;

  private static final int RETRY_AFTER_SECONDS = 1;

  private final EffectSink sink;

  JobAnswers(EffectSink sink) {
    this.sink = sink;
  }

  /** Answers with the current state of the job. */
  void job(long exchange, Job job) {
    sink.respond(exchange, view(job, OK));
  }

  /** Answers that this request has created the job. */
  void created(long exchange, Job job) {
    sink.respond(exchange, view(job, CREATED));
  }

  /** Answers that no such job exists. */
  void notFound(long exchange) {
    sink.respond(exchange, new Answer.Failure(NOT_FOUND, "no such job", NO_RETRY));
  }

  /** Answers that the job is not accepted. */
  void refused(long exchange, Refusal refusal) {
    sink.respond(exchange, new Answer.Failure(refusal.status(), refusal.reason(), NO_RETRY));
  }

  /**
   * Answers that the service cannot handle the request now. The user may repeat it after {@link
   * #RETRY_AFTER_SECONDS}.
   *
   * @param reason what is missing now
   */
  void unavailable(long exchange, String reason) {
    sink.respond(exchange, new Answer.Failure(UNAVAILABLE, reason, RETRY_AFTER_SECONDS));
  }

  /** Returns the number of completed tasks of the job, as shown to users. */
  static int completedTasks(Job job) {
    return view(job, OK).done();
  }

  private static Answer.JobView view(Job job, int status) {
    return switch (job.state()) {
      case DONE -> new Answer.JobView(status, job.id(), Answer.Phase.DONE, job.tasks(), 0);
      case CANCELLED ->
          new Answer.JobView(status, job.id(), Answer.Phase.CANCELLED, job.finalDoneCount(), 0);
      case OPEN ->
          new Answer.JobView(
              status,
              job.id(),
              job.durablyRunningCount() > 0 ? Answer.Phase.RUNNING : Answer.Phase.PENDING,
              job.durablyCompletedCount(),
              job.durablyRunningCount());
    };
  }
}
