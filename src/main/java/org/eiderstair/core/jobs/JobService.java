package org.eiderstair.core.jobs;

import java.util.function.Consumer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Submission;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * Serves users' requests about jobs on every node. Final states never change and are answered from
 * the replica; anything else is first confirmed to be current by {@link JobConfirmation}. What
 * cannot be stored or confirmed is answered 503 at once, with when to retry.
 */
public final class JobService {
  private final Replica replica;
  private final JobAnswers answers;
  private final JobConfirmation confirmation;
  private final JobSubmission submissions;
  private final JobCancellation cancellations;
  private long now;

  /**
   * @param onCancelled takes each cancellation that this node has committed
   */
  public JobService(
      Settings settings, EffectSink sink, Replica replica, Consumer<Cancellation> onCancelled) {
    this.replica = replica;
    this.answers = new JobAnswers(sink);
    this.confirmation = new JobConfirmation(settings, sink, replica, answers);
    this.submissions =
        new JobSubmission(
            sink, replica, new SubmissionValidator(settings, replica), confirmation, answers);
    this.cancellations =
        new JobCancellation(sink, replica, confirmation, answers, onCancelled, () -> now);
  }

  /** A user submits a job. */
  public void submit(long exchange, Submission submission) {
    // Also a malformed submission waits for the replica: its id may be that of an accepted job.
    if (isReady(exchange)) {
      submissions.submit(exchange, submission, now);
    }
  }

  /** A user asks for the state of a job. */
  public void poll(long exchange, String id) {
    if (!isReady(exchange)) {
      return;
    }
    Job known = replica.job(id);
    if (known != null && !known.isOpen()) {
      answers.job(exchange, known);
      return;
    }
    confirmation.confirm(
        exchange, id, job -> answers.job(exchange, job), () -> answers.notFound(exchange));
  }

  /** A user cancels a job. */
  public void cancel(long exchange, String id) {
    if (isReady(exchange)) {
      cancellations.cancel(exchange, id);
    }
  }

  private boolean isReady(long exchange) {
    if (!replica.isLoaded()) {
      answers.unavailable(exchange, "starting");
    }
    return replica.isLoaded();
  }

  /** When {@link #tick} has something to do next; far away when nothing waits. */
  public long dueMicros() {
    return confirmation.dueMicros();
  }

  /** Confirms what has been gathered, once that is due. */
  public void tick(long nowMicros) {
    now = nowMicros;
    confirmation.tick(nowMicros);
  }
}
