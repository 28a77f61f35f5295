package org.eiderstair.core.jobs;

import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Job;

/** The answers that users get about jobs. */
final class JobAnswers {
  private static final int OK = 200;
  private static final int CREATED = 201;
  private static final int NOT_FOUND = 404;
  private static final int UNAVAILABLE = 503;
  private static final int NO_RETRY = 0;
  private static final int RETRY_AFTER_S = 1;

  private final EffectSink sink;

  JobAnswers(EffectSink sink) {
    this.sink = sink;
  }

  /** The job as it is. */
  void job(long exchange, Job job) {
    sink.respond(exchange, view(job, OK));
  }

  /** The job, which this request has created. */
  void created(long exchange, Job job) {
    sink.respond(exchange, view(job, CREATED));
  }

  void notFound(long exchange) {
    sink.respond(exchange, new Answer.Failure(NOT_FOUND, "no such job", NO_RETRY));
  }

  void refused(long exchange, Refusal refusal) {
    sink.respond(exchange, new Answer.Failure(refusal.status(), refusal.reason(), NO_RETRY));
  }

  /** The request may be repeated soon; the reason says what is missing now. */
  void unavailable(long exchange, String reason) {
    sink.respond(exchange, new Answer.Failure(UNAVAILABLE, reason, RETRY_AFTER_S));
  }

  /** How many of its tasks are done, as users see it. */
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
