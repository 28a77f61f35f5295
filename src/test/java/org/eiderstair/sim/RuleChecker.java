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

/** Checks the safety rules at every event that could violate them. */
final class RuleChecker {
  /** How long the tasks of a cancelled job may still run after the confirmation. */
  static final long CANCEL_BOUND_MICROS = 32_000_000;

  /** Maximum rounding error of a sum of processors. */
  static final double MAX_ROUNDING_ERROR_CPUS = 1e-6;

  /** Interval between two checks that the tasks of cancelled jobs have stopped. */
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

  /** Returns the first violations, at most {@code MAX_VIOLATIONS}. */
  List<Violation> violations() {
    return violations;
  }

  /** Records and traces a violation. */
  void recordViolation(Rule rule, String detail) {
    cluster.trace("BROKEN " + rule + ": " + detail);
    if (violations.size() < MAX_VIOLATIONS) {
      violations.add(new Violation(rule, cluster.clock.now(), detail));
    }
  }

  /**
   * Replaces the team limit that is checked, so that a test can show that a violation is detected.
   */
  void setTeamLimit(double cpus) {
    teamLimit = cpus;
  }

  // Execution of tasks.

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

  /** Returns how many tasks started after the cancellation of their job was confirmed. */
  int startsAfterCancellation() {
    return startsAfterCancellation;
  }

  /**
   * Returns the longest time between a confirmed cancellation and a later start of a task of the
   * job.
   */
  long maxStartAfterCancellationMicros() {
    return maxStartAfterCancellationMicros;
  }

  // Answers to users.

  void checkFinalPhaseStays(Answer.JobView view, Answer.Phase phaseBefore) {
    if (SimulatedUsers.isFinal(phaseBefore) && view.phase() != phaseBefore) {
      recordViolation(Rule.WENT_BACK, view.id() + " from " + phaseBefore + " to " + view.phase());
    }
  }

  void checkCancelledOnRequest(String job) {
    if (!cluster.users.cancelRequested(job)) {
      recordViolation(Rule.WENT_BACK, job + " cancelled without a request");
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

  /**
   * Checks that a request for an accepted job is not refused, even if the rest of the request is
   * invalid.
   */
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

  // Requests to the cloud.

  /**
   * Checks that rentals and releases are durable when they are requested from the cloud, by any
   * leader and at any time.
   *
   * @return for each machine that is to be deleted, the term in which its release was last written
   */
  Map<String, Long> checkWrittenBeforeRequest(Request request) {
    if (request instanceof Request.CloudRent rent) {
      if (!cluster.state.lastWrittenValues().containsKey(StateKeys.rental(rent.requestName()))) {
        recordViolation(Rule.UNWRITTEN, rent.requestName());
      }
    } else if (request instanceof Request.CloudDelete delete) {
      Map<String, Long> releaseTerms = releaseTerms();
      for (String id : delete.machines()) {
        if (!releaseTerms.containsKey(id)) {
          recordViolation(Rule.UNWRITTEN, id + " is released without a stored release record");
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
   * Checks that no leader of a later term than the release uses a machine that is being deleted.
   *
   * @param releaseTerm the term in which the release was last written, or null if none was written
   */
  void checkNotUsedByLaterTerm(SimulatedWorker worker, Long releaseTerm) {
    if (!worker.isDead() && worker.isUsedByTermAfter(releaseTerm == null ? 0 : releaseTerm)) {
      recordViolation(
          Rule.LATE_DELETE, worker.id + " is in use, release was stored in term=" + releaseTerm);
    }
  }
}
