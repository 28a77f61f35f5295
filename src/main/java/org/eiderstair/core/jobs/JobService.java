package org.eiderstair.core.jobs;

import java.util.function.Consumer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.Submission;
import org.eiderstair.core.model.Cancellation;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;

/**
 * Serves users' requests about jobs on every node.
 *
 * <p>Final states never change, so they are answered from the replica. Any other state is first
 * confirmed to be current by {@link JobConfirmation}. A request that cannot be stored or confirmed
 * is answered at once with status 503 and a retry delay.
 */
public final class JobService {
  private final Replica replica;
  private final JobAnswers answers;
  private final JobConfirmation confirmation;
  private final JobSubmission submissions;
  private final JobCancellation cancellations;
  private long now;

  /**
   * @param onCancelled receives each cancellation that this node has committed
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

  /** Handles a user's submission of a job. */
  public void submit(long exchange, Submission submission) {
    // A malformed submission needs the replica too, since its id may belong to an accepted job.
    if (checkReady(exchange)) {
      submissions.submit(exchange, submission, now);
    }
  }

  /** Handles a user's query for the state of a job. */
  public void poll(long exchange, String id) {
    if (!checkReady(exchange)) {
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

  /** Handles a user's cancellation of a job. */
  public void cancel(long exchange, String id) {
    if (checkReady(exchange)) {
      cancellations.cancel(exchange, id);
    }
  }

  /** Returns whether the replica is loaded; if not, answers that the service is unavailable. */
  private boolean checkReady(long exchange) {
    if (!replica.isLoaded()) {
      answers.unavailable(exchange, "starting");
    }
    return replica.isLoaded();
  }

  /** Returns the time when {@link #tick} is next due; {@link Long#MAX_VALUE} if nothing waits. */
  public long dueMicros() {
    return confirmation.dueMicros();
  }

  /** Sends the batched confirmations if they are due. */
  public void tick(long nowMicros) {
    now = nowMicros;
    confirmation.tick(nowMicros);
  }
}
