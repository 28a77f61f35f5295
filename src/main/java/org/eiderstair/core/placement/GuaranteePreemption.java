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
 * Preempts work of teams above their guarantees when a job within its own team's guarantee has
 * waited for a while. Work is not preempted for priority alone: see docs/design.md for the figures.
 */
final class GuaranteePreemption {
  private static final int MAX_PREEMPTIONS_PER_PASS = 8;
  private static final long MIN_WAIT_MICROS = 60_000_000;

  /** What is freed must first have had time to arrive. */
  private static final long REPEAT_AFTER_MICROS = 30_000_000;

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

  /** Null until a job asks for them in this pass. */
  private List<Attempt> candidates;

  GuaranteePreemption(
      EffectSink sink, WorkerManager workers, TeamQuotas quotas, ServiceOrder order, long term) {
    this.sink = sink;
    this.workers = workers;
    this.quotas = quotas;
    this.order = order;
    this.term = term;
  }

  /** A pass preempts a bounded number of tasks. */
  void beginPass() {
    preemptionsLeft = MAX_PREEMPTIONS_PER_PASS;
    candidates = null;
  }

  /** Preempts for a job what it needs and may claim, if it has waited long enough. */
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
    double neededCpus = job.waitingTasks() * job.spec().cpus();
    List<Attempt> victims = new ArrayList<>();
    for (Attempt attempt : candidatesOfPass()) {
      if (attempt.isStopRequested()) {
        if (constraints.allows(attempt.machine())) {
          neededCpus -= attempt.spec().cpus();
        }
      } else if (teams.contains(attempt.spec().team())
          && isPreemptible(attempt, job.spec())
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
        && nowMicros >= job.lastPreemptionMicros() + REPEAT_AFTER_MICROS
        && quotas.limitAllowsOneMore(job.spec());
  }

  /**
   * The attempts that are preempted already or may be, whichever job asks: nothing else becomes one
   * within a pass. Hundreds of jobs may ask in one pass, and a fleet of thousands of machines has
   * tens of thousands of attempts, so they are gone through once.
   */
  private List<Attempt> candidatesOfPass() {
    if (candidates == null) {
      candidates = new ArrayList<>();
      for (Machine machine : workers.machines().values()) {
        for (Attempt attempt : machine.attempts()) {
          if (attempt.isStopRequested() || mayBePreempted(attempt)) {
            candidates.add(attempt);
          }
        }
      }
    }
    return candidates;
  }

  /**
   * A job that is itself within a guarantee is spared: it would be placed again at once, before the
   * one it was preempted for (seen in an incident: the same tasks were preempted three times in a
   * second).
   */
  private boolean mayBePreempted(Attempt attempt) {
    return attempt.phase() == Attempt.Phase.REPORTED
        && attempt.job().isOpen()
        && !order.isWithinGuarantee(attempt.job());
  }

  private boolean isPreemptible(Attempt attempt, JobSpec waiting) {
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
