package org.eiderstair.core.placement;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Preempts tasks of teams above their guarantees for a job that is within its own team's guarantee.
 * The job must have waited for a minimum time. Tasks are not preempted for priority alone;
 * docs/design.md has the figures.
 */
final class GuaranteePreemption {
  private static final int MAX_PREEMPTIONS_PER_PASS = 8;

  /** Minimum time from the submission of a job to a preemption for it. */
  private static final long MIN_WAIT_MICROS = 60_000_000;

  /**
   * Minimum time between preemptions for one job; freed resources become available with a delay.
   */
  private static final long MIN_PREEMPTION_INTERVAL_MICROS = 30_000_000;

  private static final Comparator<Attempt> LEAST_IMPORTANT_THEN_LATEST_STARTED =
      Comparator.comparing((Attempt attempt) -> attempt.spec().priority())
          .reversed()
          .thenComparing(attempt -> -attempt.runningSinceMicros());

  private final EffectSink sink;
  private final WorkerManager workers;
  private final TeamQuotas quotas;
  private final ServiceOrder order;
  private final long term;
  private int preemptionsLeft;

  /** The result of {@link #candidates()}; null until a job needs it in this pass. */
  private List<Attempt> candidates;

  GuaranteePreemption(
      EffectSink sink, WorkerManager workers, TeamQuotas quotas, ServiceOrder order, long term) {
    this.sink = sink;
    this.workers = workers;
    this.quotas = quotas;
    this.order = order;
    this.term = term;
  }

  /** Resets the limit on preemptions and the cached candidates for a new pass. */
  void beginPass() {
    preemptionsLeft = MAX_PREEMPTIONS_PER_PASS;
    candidates = null;
  }

  /**
   * Preempts tasks until the job's waiting tasks have enough processors, or the limit of the pass
   * is reached. Does nothing unless the job is eligible and has waited long enough.
   */
  void preemptFor(Job job, long nowMicros) {
    if (preemptionsLeft == 0 || !mayPreempt(job, nowMicros)) {
      return;
    }
    job.recordPreemption(nowMicros);
    Set<String> teams = quotas.teamsAboveGuarantee();
    teams.remove(job.spec().team());
    if (teams.isEmpty()) {
      return;
    }
    PlacementConstraints constraints =
        new PlacementConstraints(job, workers.machines().values(), nowMicros);
    constraints.chooseZone();
    double neededCpus = job.waitingTaskCount() * job.spec().cpus();
    List<Attempt> victims = new ArrayList<>();
    for (Attempt attempt : candidates()) {
      if (attempt.isStopRequested()) {
        if (constraints.allows(attempt.machine())) {
          neededCpus -= attempt.spec().cpus();
        }
      } else if (teams.contains(attempt.spec().team())
          && isPreemptibleFor(attempt, job.spec())
          && constraints.allows(attempt.machine())) {
        victims.add(attempt);
      }
    }
    victims.sort(LEAST_IMPORTANT_THEN_LATEST_STARTED);
    for (Attempt victim : victims) {
      if (neededCpus <= 0 || preemptionsLeft == 0) {
        return;
      }
      preempt(victim, job);
      neededCpus -= victim.spec().cpus();
    }
  }

  private boolean mayPreempt(Job job, long nowMicros) {
    return order.isWithinGuarantee(job)
        && nowMicros >= job.submittedMicros() + MIN_WAIT_MICROS
        && nowMicros >= job.lastPreemptionMicros() + MIN_PREEMPTION_INTERVAL_MICROS
        && quotas.limitAllowsOneMore(job.spec());
  }

  /**
   * Returns the attempts that are already stopping or may be preempted for some job. No other
   * attempt becomes a candidate during a pass.
   *
   * <p>The list is computed once per pass. Hundreds of jobs may need it in one pass, and a fleet of
   * thousands of machines has tens of thousands of attempts.
   */
  private List<Attempt> candidates() {
    if (candidates == null) {
      candidates = new ArrayList<>();
      for (Machine machine : workers.machines().values()) {
        for (Attempt attempt : machine.attempts()) {
          if (attempt.isStopRequested() || isPreemptible(attempt)) {
            candidates.add(attempt);
          }
        }
      }
    }
    return candidates;
  }

  /**
   * Returns whether an attempt may be preempted for some job. Tasks of a job within its own team's
   * guarantee are excluded: they would be placed again before the job they were preempted for. In
   * one incident, the same tasks were preempted three times within a second.
   */
  private boolean isPreemptible(Attempt attempt) {
    return attempt.phase() == Attempt.Phase.REPORTED
        && attempt.job().isOpen()
        && !order.isWithinGuarantee(attempt.job());
  }

  /**
   * Returns whether an attempt may be preempted for the waiting job. Its priority must not be
   * higher, and its team must stay at or above the guarantee without it.
   */
  private boolean isPreemptibleFor(Attempt attempt, JobSpec waiting) {
    return waiting.priority().compareTo(attempt.spec().priority()) <= 0
        && quotas.cpusAboveGuarantee(attempt.spec().team()) >= attempt.spec().cpus();
  }

  private void preempt(Attempt victim, Job job) {
    victim.requestStop();
    workers.scheduleKills(victim.machine());
    preemptionsLeft--;
    sink.info(
        "preempting task="
            + victim.task()
            + " on machine="
            + victim.machine().id()
            + " for job="
            + job.id()
            + " team="
            + job.spec().team()
            + ", term="
            + term);
  }
}
