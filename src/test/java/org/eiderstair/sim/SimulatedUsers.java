package org.eiderstair.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.LongFunction;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Submission;
import org.eiderstair.core.model.JobSpec;

/**
 * The users of the cluster: they submit, poll and cancel jobs at random controllers and record the
 * answers.
 */
final class SimulatedUsers {
  private static final int MAX_SUBMIT_RETRIES = 200;
  private static final long SUBMIT_RETRY_DELAY_MICROS = 2_000_000;
  private static final long CANCEL_RETRY_DELAY_MICROS = 1_500_000;
  private static final long POLL_INTERVAL_MICROS = 2_000_000;
  private static final int POLL_JITTER_MICROS = 2_000_000;
  private static final long ENDED_JOB_POLL_INTERVAL_MICROS = 20_000_000;

  private final SimulatedCluster cluster;
  private final Map<String, JobSpec> submitted = new LinkedHashMap<>();
  private final Map<String, Long> submittedAtMicros = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();

  /** The phase of each job that was answered last; a final phase stays. */
  private final Map<String, Answer.Phase> lastAnsweredPhases = new HashMap<>();

  private final Map<String, Long> cancelConfirmedAtMicros = new HashMap<>();
  private final Set<String> cancelRequested = new HashSet<>();

  SimulatedUsers(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  static boolean isFinal(Answer.Phase phase) {
    return phase == Answer.Phase.DONE || phase == Answer.Phase.CANCELLED;
  }

  /** Submits a job at random controllers until the submission is confirmed or no retry is left. */
  void submit(JobSpec spec) {
    submitted.put(spec.id(), spec);
    submittedAtMicros.put(spec.id(), cluster.clock.now());
    trySubmit(spec, 0);
  }

  private void trySubmit(JobSpec spec, int retries) {
    if (retries > MAX_SUBMIT_RETRIES) {
      return;
    }
    boolean[] confirmed = {false};
    cluster.clock.after(
        SUBMIT_RETRY_DELAY_MICROS,
        () -> {
          if (!confirmed[0]) {
            trySubmit(spec, retries + 1);
          }
        });
    Answer.Phase phaseBefore = lastAnsweredPhases.get(spec.id());
    sendToRandomNode(
        exchange ->
            new Event.Submit(
                exchange, new Submission.Parsed(cluster.defects.submission.apply(spec))),
        answer -> {
          if (answer instanceof Answer.JobView view) {
            confirmed[0] = true;
            onSubmissionConfirmed(spec.id(), view, phaseBefore);
          } else {
            cluster.rules.checkSubmissionNotRefused(spec.id(), answer);
          }
        });
  }

  private void onSubmissionConfirmed(String id, Answer.JobView view, Answer.Phase phaseBefore) {
    boolean first = accepted.add(id);
    onAnswer(view, phaseBefore);
    if (first) {
      poll(id);
      cluster.faults.onUserAnswered(id);
    }
  }

  /** Polls an accepted job at random controllers until the end of the day. */
  private void poll(String id) {
    Answer.Phase phaseBefore = lastAnsweredPhases.get(id);
    if (isFinal(phaseBefore)) {
      cluster.clock.after(ENDED_JOB_POLL_INTERVAL_MICROS, () -> poll(id));
    } else {
      cluster.clock.after(
          POLL_INTERVAL_MICROS + cluster.random.nextInt(POLL_JITTER_MICROS), () -> poll(id));
    }
    sendToRandomNode(
        exchange -> new Event.Poll(exchange, id),
        answer -> {
          if (answer instanceof Answer.JobView view) {
            cluster.liveness.onAnswer(id);
            onAnswer(view, phaseBefore);
          } else {
            cluster.rules.checkAcceptedIsKnown(id, answer);
          }
        });
  }

  /** Polls a job that nobody has submitted. */
  void pollUnknown(String id) {
    sendToRandomNode(
        exchange -> new Event.Poll(exchange, id),
        answer -> cluster.rules.checkNotInvented(id, answer));
  }

  /** Requests the cancellation of a job at random controllers until the job has ended. */
  void cancel(String id) {
    cancelRequested.add(id);
    Answer.Phase phaseBefore = lastAnsweredPhases.get(id);
    if (isFinal(phaseBefore)) {
      return;
    }
    cluster.clock.after(CANCEL_RETRY_DELAY_MICROS, () -> cancel(id));
    sendToRandomNode(
        exchange -> new Event.Cancel(exchange, id), answer -> onCancelAnswer(answer, phaseBefore));
  }

  /** Requests the cancellation of a job once, through one controller. */
  void cancelThrough(int node, String id) {
    cancelRequested.add(id);
    Answer.Phase phaseBefore = lastAnsweredPhases.get(id);
    cluster.sendRequest(
        node,
        exchange -> new Event.Cancel(exchange, id),
        answer -> onCancelAnswer(answer, phaseBefore));
  }

  private void onCancelAnswer(Answer answer, Answer.Phase phaseBefore) {
    if (answer instanceof Answer.JobView view) {
      onAnswer(view, phaseBefore);
    }
  }

  /** Sends a request to a random controller. */
  private void sendToRandomNode(LongFunction<Event> event, Consumer<Answer> callback) {
    cluster.sendRequest(cluster.random.nextInt(cluster.size.nodes()), event, callback);
  }

  /**
   * Records that a user was answered the state of a job, and checks the answer.
   *
   * @param phaseBefore the phase that was known when the request was sent; only that phase must not
   *     be revoked
   */
  void onAnswer(Answer.JobView view, Answer.Phase phaseBefore) {
    String id = view.id();
    cluster.rules.checkFinalPhaseStays(view, phaseBefore);
    if (view.phase() == Answer.Phase.CANCELLED) {
      cancelConfirmedAtMicros.putIfAbsent(id, cluster.clock.now());
      cluster.rules.checkCancelledOnRequest(id);
    }
    if (view.phase() == Answer.Phase.DONE) {
      cluster.rules.checkAllTasksCompleted(id);
    }
    if (!hasEnded(id)) {
      lastAnsweredPhases.put(id, view.phase());
      if (hasEnded(id)) {
        cluster.faults.onUserAnswered(id);
      }
    }
  }

  JobSpec spec(String id) {
    return submitted.get(id);
  }

  Answer.Phase phase(String id) {
    return lastAnsweredPhases.get(id);
  }

  /** Returns whether users were answered that the job is done or cancelled. */
  boolean hasEnded(String id) {
    return isFinal(lastAnsweredPhases.get(id));
  }

  /** Returns the ids of all accepted jobs, sorted. */
  List<String> acceptedJobs() {
    return accepted.stream().sorted().toList();
  }

  boolean cancelRequested(String id) {
    return cancelRequested.contains(id);
  }

  long submittedAtMicros(String id) {
    return submittedAtMicros.get(id);
  }

  /** Returns when the cancellation was confirmed to the user, or null. */
  Long cancelConfirmedAtMicros(String id) {
    return cancelConfirmedAtMicros.get(id);
  }

  /** Returns whether the tasks of the job always end with an error. */
  boolean alwaysFails(String id) {
    return submitted.get(id).image().equals(SampleJobs.FAILING_IMAGE);
  }

  /** Returns the accepted array jobs that can complete and that are not known to have ended. */
  List<String> unfinishedJobs() {
    return acceptedJobs().stream()
        .filter(
            id ->
                submitted.get(id).shape() == JobSpec.Shape.ARRAY
                    && !alwaysFails(id)
                    && !hasEnded(id))
        .toList();
  }
}
