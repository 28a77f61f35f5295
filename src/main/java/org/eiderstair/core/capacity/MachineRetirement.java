package org.eiderstair.core.capacity;

import java.util.ArrayList;
import java.util.Optional;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.membership.ReachabilityClassifier;
import org.eiderstair.core.membership.ReachabilityClassifier.Verdict;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.WorkerManager;

/**
 * Releases machines that can no longer be used. These are unreachable machines, machines that
 * failed to boot, drained machines, and machines that hold cancelled tasks that do not end.
 */
final class MachineRetirement {
  /** A machine that was in contact within this time is considered alive. */
  private static final long RECENT_HEARTBEAT_MICROS = 1_000_000;

  /** The boot timeout is this multiple of the usual boot time of the machine type. */
  private static final int BOOT_TIME_FACTOR = 4;

  /** The usual boot time assumed for a machine type that is not in the catalog. */
  private static final long UNKNOWN_TYPE_BOOT_MICROS = 60_000_000;

  /**
   * Time allowed from a release decision to the deletion. It covers one write, one slow request and
   * one retry.
   */
  private static final long RELEASE_DURATION_MICROS = 12_000_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final WorkerManager workers;
  private final Membership membership;
  private final ScaleIn scaleIn;
  private final CapacityClock clock;
  private final long term;
  private Optional<ReachabilityClassifier> lastClassifier = Optional.empty();
  private int lastSilentMachinesKept;

  MachineRetirement(
      Settings settings,
      EffectSink sink,
      Replica replica,
      WorkerManager workers,
      Membership membership,
      ScaleIn scaleIn,
      CapacityClock clock,
      long term) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.workers = workers;
    this.membership = membership;
    this.scaleIn = scaleIn;
    this.clock = clock;
    this.term = term;
  }

  /** Returns whether peers should be asked about a machine whose heartbeats are missing. */
  boolean hasMissingMachines() {
    return lastClassifier.isPresent() && lastClassifier.get().hasMissingMachines();
  }

  /** Classifies all machines at the current time and releases those that can no longer be used. */
  void retire() {
    ReachabilityClassifier classifier =
        membership.classify(
            workers.machines().values(),
            workers.reachability().hasFewDirectHeartbeats(),
            settings.tuning().unreachableDeleteMicros(),
            settings.tuning().partitionedDeleteMicros(),
            clock.nowMicros());
    lastClassifier = Optional.of(classifier);
    releaseMachinesWithCancelledTasks();
    int silentMachinesKept = 0;
    for (Machine machine : workers.machines().values()) {
      if (machine.plan() == Machine.Plan.TERMINATE) {
        keepIfAlive(machine);
      } else if (releaseIfUnusable(machine, classifier)) {
        silentMachinesKept++;
      }
    }
    logSilentMachinesKept(silentMachinesKept, classifier);
  }

  /** Keeps a machine that was presumed dead and is in contact again, if that is still possible. */
  private void keepIfAlive(Machine machine) {
    if (machine.isPresumedDead()
        && machine.lastContactMicros() > clock.nowMicros() - RECENT_HEARTBEAT_MICROS) {
      scaleIn.cancel(machine);
    }
  }

  /**
   * Releases the machine if there is a reason.
   *
   * @return whether the machine is silent and is kept nevertheless
   */
  private boolean releaseIfUnusable(Machine machine, ReachabilityClassifier classifier) {
    Verdict verdict = classifier.verdictOf(machine);
    machine.setPartitioned(verdict == Verdict.ZONE_PARTITIONED);
    Optional<String> reason = reasonToRelease(machine, verdict, classifier);
    if (reason.isPresent()) {
      machine.setPresumedDead(verdict == Verdict.UNREACHABLE);
      scaleIn.release(machine, reason.get());
    }
    return reason.isEmpty() && verdict.isOverdue();
  }

  /**
   * Returns the reason to release the machine; empty if the machine is kept. While this node is
   * overloaded, missing heartbeats are no reason. The cloud lists a machine that really died as
   * failed.
   */
  private Optional<String> reasonToRelease(
      Machine machine, Verdict verdict, ReachabilityClassifier classifier) {
    if (machine.phase() == Machine.Phase.BOOTING) {
      return bootTimedOut(machine) ? Optional.of("did not boot in time") : Optional.empty();
    }
    if (verdict == Verdict.UNREACHABLE && !workers.reachability().isOverloaded()) {
      return Optional.of("unreachable: " + classifier.evidence(machine));
    }
    boolean drained =
        machine.plan() == Machine.Plan.DRAIN
            && machine.attempts().isEmpty()
            && machine.phase() == Machine.Phase.CONFIRMED;
    return drained ? Optional.of("drained") : Optional.empty();
  }

  private boolean bootTimedOut(Machine machine) {
    long bootMicros =
        machine.type() == null ? UNKNOWN_TYPE_BOOT_MICROS : machine.type().bootMicros();
    return clock.nowMicros() > machine.createdMicros() + bootMicros * BOOT_TIME_FACTOR
        && !membership.isReachableByPeer(machine.id())
        && !workers.reachability().isOverloaded();
  }

  /**
   * Releases machines that may still run tasks of a cancelled job, early enough to delete them
   * within the time allowed for cancellations. A machine that hangs or ignores commands may never
   * report the end of a task. Its lease usually expires earlier, but the lease depends on the
   * machine's own clock.
   */
  private void releaseMachinesWithCancelledTasks() {
    long now = clock.nowMicros();
    long cancelledBefore = now - settings.workerTimings().cancelMicros() + RELEASE_DURATION_MICROS;
    for (Job job : replica.recentlyCancelled(now)) {
      if (job.cancelledMicros() < cancelledBefore) {
        for (Attempt attempt : new ArrayList<>(job.attempts())) {
          releaseMachineOf(attempt, now - job.cancelledMicros());
        }
      }
    }
  }

  private void releaseMachineOf(Attempt attempt, long sinceCancelledMicros) {
    if (attempt.mayBeOnMachine() && attempt.machine().plan() != Machine.Plan.TERMINATE) {
      scaleIn.release(
          attempt.machine(),
          "cancelled task may still run task="
              + attempt.task()
              + " sinceCancelledMs="
              + sinceCancelledMicros / 1000);
    }
  }

  private void logSilentMachinesKept(int silentMachinesKept, ReachabilityClassifier classifier) {
    if (silentMachinesKept != lastSilentMachinesKept) {
      lastSilentMachinesKept = silentMachinesKept;
      sink.info(
          "keeping silent machines count="
              + silentMachinesKept
              + ", "
              + classifier.evidence()
              + ", term="
              + term);
    }
  }
}
