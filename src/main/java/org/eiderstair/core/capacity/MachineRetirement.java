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
 * Releases machines that can no longer be used: unreachable, failed to boot, drained, or holding
 * cancelled work that does not end.
 */
final class MachineRetirement {
  /** A machine that reported within this time is not dead. */
  private static final long RECENT_HEARTBEAT_MICROS = 1_000_000;

  /** A machine may take this many times the usual time to boot. */
  private static final int BOOT_TIME_FACTOR = 4;

  private static final long UNKNOWN_TYPE_BOOT_MICROS = 60_000_000;

  /** The time from a decision to the deletion: a write, a slow request and a second one. */
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
  private int lastSilentKept;

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

  /** Whether some machine has been silent for so long that peers are to be asked about it. */
  boolean hasMissingMachines() {
    return lastClassifier.isPresent() && lastClassifier.get().hasMissingMachines();
  }

  /** Judges all machines as of now, and releases those that are of no more use. */
  void retire() {
    ReachabilityClassifier classifier =
        membership.classify(
            workers.machines().values(),
            workers.reachability().isReachedByFew(),
            settings.tuning().unreachableDeleteMicros(),
            settings.tuning().partitionedDeleteMicros(),
            clock.nowMicros());
    lastClassifier = Optional.of(classifier);
    releaseHoldersOfCancelledWork();
    int silentKept = 0;
    for (Machine machine : workers.machines().values()) {
      if (machine.plan() == Machine.Plan.TERMINATE) {
        keepIfAlive(machine);
      } else if (judge(machine, classifier)) {
        silentKept++;
      }
    }
    logSilentKept(silentKept, classifier);
  }

  /** A machine that was presumed dead and reports again is kept, if it still can be. */
  private void keepIfAlive(Machine machine) {
    if (machine.isPresumedDead()
        && machine.lastContactMicros() > clock.nowMicros() - RECENT_HEARTBEAT_MICROS) {
      scaleIn.cancel(machine);
    }
  }

  /** Releases the machine if there is a reason; returns whether it is silent and kept. */
  private boolean judge(Machine machine, ReachabilityClassifier classifier) {
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
   * While this node is overloaded, no machine is released because its heartbeats are missing: one
   * that really died is listed as failed by the cloud.
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
   * A task of a cancelled job that is not shown to have ended is ended with its machine, while the
   * time allowed for cancellations still suffices for that. A machine that hangs or does not obey
   * may never show it; its lease mostly ends sooner, but that depends on its own clock.
   */
  private void releaseHoldersOfCancelledWork() {
    long now = clock.nowMicros();
    long cancelledBefore = now - settings.workerTimings().cancelMicros() + RELEASE_DURATION_MICROS;
    for (Job job : replica.recentlyCancelled(now)) {
      if (job.cancelledMicros() < cancelledBefore) {
        for (Attempt attempt : new ArrayList<>(job.attempts())) {
          releaseHolder(attempt, now - job.cancelledMicros());
        }
      }
    }
  }

  private void releaseHolder(Attempt attempt, long sinceCancelledMicros) {
    if (attempt.mayBeOnMachine() && attempt.machine().plan() != Machine.Plan.TERMINATE) {
      scaleIn.release(
          attempt.machine(),
          "not shown to have ended task="
              + attempt.task()
              + ", cancelled "
              + sinceCancelledMicros / 1000
              + " ms ago");
    }
  }

  private void logSilentKept(int silentKept, ReachabilityClassifier classifier) {
    if (silentKept != lastSilentKept) {
      lastSilentKept = silentKept;
      sink.info(
          "silent machines kept: " + silentKept + ", " + classifier.evidence() + ", term=" + term);
    }
  }
}
