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
  private static final int MAX_SUBMISSIONS = 200;
  private static final long SUBMIT_RETRY_MICROS = 2_000_000;
  private static final long CANCEL_RETRY_MICROS = 1_500_000;
  private static final long POLL_MICROS = 2_000_000;
  private static final int POLL_SPREAD_MICROS = 2_000_000;
  private static final long POLL_ENDED_MICROS = 20_000_000;

  private final SimulatedCluster cluster;
  private final Map<String, JobSpec> submitted = new LinkedHashMap<>();
  private final Map<String, Long> submittedAtMicros = new HashMap<>();
  private final Set<String> accepted = new HashSet<>();

  /** Of each job, the phase that was answered last; a final one stays. */
  private final Map<String, Answer.Phase> phases = new HashMap<>();

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

  private void trySubmit(JobSpec spec, int tries) {
    if (tries > MAX_SUBMISSIONS) {
      return;
    }
    boolean[] confirmed = {false};
    cluster.clock.after(
        SUBMIT_RETRY_MICROS,
        () -> {
          if (!confirmed[0]) {
            trySubmit(spec, tries + 1);
          }
        });
    Answer.Phase before = phases.get(spec.id());
    askAny(
        exchange ->
            new Event.Submit(
                exchange, new Submission.Parsed(cluster.planted.submission.apply(spec))),
        answer -> {
          if (answer instanceof Answer.JobView view) {
            confirmed[0] = true;
            submissionConfirmed(spec.id(), view, before);
          } else {
            cluster.rules.checkSubmissionNotRefused(spec.id(), answer);
          }
        });
  }

  private void submissionConfirmed(String id, Answer.JobView view, Answer.Phase before) {
    boolean first = accepted.add(id);
    answered(view, before);
    if (first) {
      poll(id);
      cluster.faults.userAnswered(id);
    }
  }

  private void poll(String id) {
    Answer.Phase before = phases.get(id);
    if (isFinal(before)) {
      cluster.clock.after(POLL_ENDED_MICROS, () -> poll(id));
    } else {
      cluster.clock.after(POLL_MICROS + cluster.random.nextInt(POLL_SPREAD_MICROS), () -> poll(id));
    }
    askAny(
        exchange -> new Event.Poll(exchange, id),
        answer -> {
          if (answer instanceof Answer.JobView view) {
            cluster.liveness.answered(id);
            answered(view, before);
          } else {
            cluster.rules.checkAcceptedIsKnown(id, answer);
          }
        });
  }

  /** Asks for a job that nobody submitted. */
  void pollUnknown(String id) {
    askAny(
        exchange -> new Event.Poll(exchange, id),
        answer -> cluster.rules.checkNotInvented(id, answer));
  }

  /** Asks at drawn controllers, again and again, until the job has ended. */
  void cancel(String id) {
    cancelRequested.add(id);
    Answer.Phase before = phases.get(id);
    if (isFinal(before)) {
      return;
    }
    cluster.clock.after(CANCEL_RETRY_MICROS, () -> cancel(id));
    askAny(exchange -> new Event.Cancel(exchange, id), answer -> cancelAnswered(answer, before));
  }

  /** Asks one controller, once. */
  void cancelThrough(int node, String id) {
    cancelRequested.add(id);
    Answer.Phase before = phases.get(id);
    cluster.ask(
        node, exchange -> new Event.Cancel(exchange, id), answer -> cancelAnswered(answer, before));
  }

  private void cancelAnswered(Answer answer, Answer.Phase before) {
    if (answer instanceof Answer.JobView view) {
      answered(view, before);
    }
  }

  private void askAny(LongFunction<Event> event, Consumer<Answer> callback) {
    cluster.ask(cluster.random.nextInt(cluster.size.nodes()), event, callback);
  }

  /**
   * @param before what had been answered when the question was asked: only that may not be taken
   *     back
   */
  void answered(Answer.JobView view, Answer.Phase before) {
    String id = view.id();
    cluster.rules.checkFinalPhaseStays(view, before);
    if (view.phase() == Answer.Phase.CANCELLED) {
      cancelConfirmedAtMicros.putIfAbsent(id, cluster.clock.now());
      cluster.rules.checkCancelledOnRequest(id);
    }
    if (view.phase() == Answer.Phase.DONE) {
      cluster.rules.checkAllTasksCompleted(id);
    }
    if (!ended(id)) {
      phases.put(id, view.phase());
      if (ended(id)) {
        cluster.faults.userAnswered(id);
      }
    }
  }

  JobSpec spec(String id) {
    return submitted.get(id);
  }

  Answer.Phase phase(String id) {
    return phases.get(id);
  }

  /** Whether its user knows it to be done or cancelled. */
  boolean ended(String id) {
    return isFinal(phases.get(id));
  }

  /** Ids of accepted jobs, in order. */
  List<String> accepted() {
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
  List<String> unfinished() {
    return accepted().stream()
        .filter(
            id ->
                submitted.get(id).shape() == JobSpec.Shape.ARRAY && !alwaysFails(id) && !ended(id))
        .toList();
  }
}
