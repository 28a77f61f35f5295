package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.TaskId;
import org.eiderstair.core.record.ReleaseRecord;
import org.eiderstair.core.record.StateKeys;
import org.eiderstair.core.record.StoredValue;

/** The rules that hold at every moment, each checked where it would be broken. */
final class RuleChecker {
  /** How long after its confirmation a cancelled job's tasks may still run. */
  static final long CANCEL_BOUND_MICROS = 32_000_000;

  /** Sums of processors may be off by so much, by rounding. */
  static final double MAX_ROUNDING_ERROR_CPUS = 1e-6;

  private static final long CANCELLED_CHECK_INTERVAL_MICROS = 1_000_000;
  private static final int MAX_VIOLATIONS = 20;

  private final SimulatedCluster cluster;
  private final List<Violation> violations = new ArrayList<>();
  private double teamLimit;
  private int startsAfterCancellation;
  private long maxStartAfterCancellationMicros;

  RuleChecker(SimulatedCluster cluster) {
    this.cluster = cluster;
    this.teamLimit = cluster.size.limit();
  }

  void start() {
    checkCancelledHaveStopped();
  }

  /** The first of what was broken. */
  List<Violation> violations() {
    return violations;
  }

  void recordViolation(Rule rule, String detail) {
    cluster.trace("BROKEN " + rule + ": " + detail);
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(new Violation(rule, cluster.clock.now(), detail));
    }
  }

  /** Checks quotas against another limit than the controllers know: planted by tests. */
  void setTeamLimit(double cpus) {
    teamLimit = cpus;
  }

  // What runs on machines.

  void recordRanTwice(TaskId task, String machine, String other) {
    recordViolation(Rule.RAN_TWICE, task + " on " + machine + " and " + other);
  }

  void checkQuota(String team, double usedCpus) {
    if (usedCpus > teamLimit + MAX_ROUNDING_ERROR_CPUS) {
      recordViolation(Rule.QUOTA, team + " uses " + usedCpus);
    }
  }

  void checkPlacement(TaskId task, JobSpec spec, SimulatedWorker worker) {
    if (!spec.allows(worker.type, worker.zone, worker.spot)) {
      recordViolation(Rule.WRONG_PLACE, task + " on " + worker.id);
    }
    int inZone = 0;
    for (TaskId other : cluster.tasks.runningTasksOf(task.job())) {
      SimulatedWorker machine = cluster.cloud.worker(cluster.tasks.machineOf(other));
      if (machine == null) {
        continue;
      }
      if (machine.zone.equals(worker.zone)) {
        inZone++;
      } else if (spec.oneZone()) {
        recordViolation(Rule.WRONG_PLACE, task + " not in one zone");
      }
    }
    if (inZone > spec.maxPerZone()) {
      recordViolation(Rule.WRONG_PLACE, task + " too many in zone " + worker.zone);
    }
  }

  void checkNotCancelled(TaskId task) {
    Long confirmed = cluster.users.cancelConfirmedAtMicros(task.job());
    if (confirmed == null) {
      return;
    }
    startsAfterCancellation++;
    maxStartAfterCancellationMicros =
        Math.max(maxStartAfterCancellationMicros, cluster.clock.now() - confirmed);
    if (cluster.clock.now() > confirmed + CANCEL_BOUND_MICROS) {
      recordViolation(Rule.RAN_CANCELLED, task + " starts");
    }
  }

  private void checkCancelledHaveStopped() {
    cluster.clock.after(CANCELLED_CHECK_INTERVAL_MICROS, this::checkCancelledHaveStopped);
    for (TaskId task : cluster.tasks.runningTasks()) {
      Long confirmed = cluster.users.cancelConfirmedAtMicros(task.job());
      if (confirmed != null && cluster.clock.now() > confirmed + CANCEL_BOUND_MICROS) {
        recordViolation(Rule.RAN_CANCELLED, task + " still on " + cluster.tasks.machineOf(task));
      }
    }
  }

  /** Starts of tasks whose job's cancellation had been confirmed. */
  int startsAfterCancellation() {
    return startsAfterCancellation;
  }

  /** How long phaseBefore such a start the confirmation was, at most. */
  long maxStartAfterCancellationMicros() {
    return maxStartAfterCancellationMicros;
  }

  // What users are answered.

  void checkFinalPhaseStays(Answer.JobView view, Answer.Phase phaseBefore) {
    if (SimulatedUsers.isFinal(phaseBefore) && view.phase() != phaseBefore) {
      recordViolation(Rule.WENT_BACK, view.id() + " from " + phaseBefore + " to " + view.phase());
    }
  }

  void checkCancelledOnRequest(String job) {
    if (!cluster.users.cancelRequested(job)) {
      recordViolation(Rule.WENT_BACK, job + " cancelled by nobody");
    }
  }

  void checkAllTasksCompleted(String job) {
    for (int i = 0; i < cluster.users.spec(job).tasks(); i++) {
      if (!cluster.tasks.isCompleted(new TaskId(job, i))) {
        recordViolation(Rule.NOT_DONE, job + "/" + i);
      }
    }
  }

  void checkSubmissionNotRefused(String job, Answer answer) {
    if (answer instanceof Answer.Failure failure
        && (failure.status() == 400 || failure.status() == 422)) {
      recordViolation(Rule.FORGOTTEN, job + " refused " + failure);
    }
  }

  void checkAcceptedIsKnown(String job, Answer answer) {
    if (answer instanceof Answer.Failure failure && failure.status() == 404) {
      recordViolation(Rule.FORGOTTEN, job + " is unknown");
    }
  }

  /** Whatever is asked about an accepted job, and whatever else the request holds. */
  void checkAcceptedNotRefused(String job, Answer answer) {
    if (answer instanceof Answer.Failure failure
        && (failure.status() == 400 || failure.status() == 404 || failure.status() == 422)) {
      recordViolation(Rule.FORGOTTEN, job + " answered " + failure);
    }
  }

  void checkNotInvented(String job, Answer answer) {
    if (answer instanceof Answer.JobView) {
      recordViolation(Rule.INVENTED, job);
    }
  }

  void checkImpossibleNotAccepted(String job, Answer answer) {
    if (answer instanceof Answer.JobView) {
      recordViolation(Rule.ACCEPTED_IMPOSSIBLE, job);
    }
  }

  // What the cloud is asked for.

  /**
   * Rentals and releases must be durable phaseBefore the cloud is asked, by whoever asks and
   * however late. Gives the term in which the return of each machine was written last.
   */
  Map<String, Long> checkWrittenBeforeRequest(Request request) {
    if (request instanceof Request.CloudRent rent) {
      if (!cluster.state.lastWrittenValues().containsKey(StateKeys.rental(rent.request()))) {
        recordViolation(Rule.UNWRITTEN, rent.request());
      }
    } else if (request instanceof Request.CloudDelete delete) {
      Map<String, Long> releaseTerms = releaseTerms();
      for (String id : delete.machines()) {
        if (!releaseTerms.containsKey(id)) {
          recordViolation(Rule.UNWRITTEN, id + " is given back without a written intent");
        }
      }
      return releaseTerms;
    }
    return Map.of();
  }

  private Map<String, Long> releaseTerms() {
    Map<String, Long> terms = new HashMap<>();
    for (StoredValue value : cluster.state.lastWrittenValues().values()) {
      if (value instanceof ReleaseRecord release) {
        release.machines().forEach(id -> terms.merge(id, release.term(), Math::max));
      }
    }
    return terms;
  }

  /**
   * @param releaseTerm the term in which its return was written last, null if it never was
   */
  void checkNotUsedByLaterTerm(SimulatedWorker worker, Long releaseTerm) {
    if (!worker.isDead() && worker.isUsedByTermAfter(releaseTerm == null ? 0 : releaseTerm)) {
      recordViolation(Rule.LATE_DELETE, worker.id + " is in use, written in term " + releaseTerm);
    }
  }
}
