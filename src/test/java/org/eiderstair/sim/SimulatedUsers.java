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
 * All users: what they submit, ask and cancel, at drawn controllers, and what they were answered.
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

  /** Of each job, the phase that was answered last; a final one stays. */
  private final Map<String, Answer.Phase> lastAnsweredPhases = new HashMap<>();

  private final Map<String, Long> cancelConfirmedAtMicros = new HashMap<>();
  private final Set<String> cancelRequested = new HashSet<>();

  SimulatedUsers(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  static boolean isFinal(Answer.Phase phase) {
    return phase == Answer.Phase.DONE || phase == Answer.Phase.CANCELLED;
  }

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

  /** Asks for a job that nobody submitted. */
  void pollUnknown(String id) {
    sendToRandomNode(
        exchange -> new Event.Poll(exchange, id),
        answer -> cluster.rules.checkNotInvented(id, answer));
  }

  /** Asks at drawn controllers, again and again, until the job has ended. */
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

  /** Asks one controller, once. */
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

  private void sendToRandomNode(LongFunction<Event> event, Consumer<Answer> callback) {
    cluster.sendRequest(cluster.random.nextInt(cluster.size.nodes()), event, callback);
  }

  /**
   * @param phaseBefore what had been answered when the question was asked: only that may not be
   *     taken back
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

  /** Whether its user knows it to be done or cancelled. */
  boolean hasEnded(String id) {
    return isFinal(lastAnsweredPhases.get(id));
  }

  /** Ids of accepted jobs, in order. */
  List<String> acceptedJobs() {
    return accepted.stream().sorted().toList();
  }

  boolean cancelRequested(String id) {
    return cancelRequested.contains(id);
  }

  long submittedAtMicros(String id) {
    return submittedAtMicros.get(id);
  }

  /** When the cancellation was confirmed to the user, or null. */
  Long cancelConfirmedAtMicros(String id) {
    return cancelConfirmedAtMicros.get(id);
  }

  /** Whether the job's tasks end with an error, always. */
  boolean alwaysFails(String id) {
    return submitted.get(id).image().equals(SampleJobs.FAILING_IMAGE);
  }

  /** Accepted jobs that should have ended by now and are not known to have. */
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
