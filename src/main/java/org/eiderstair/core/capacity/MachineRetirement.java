package org.eiderstair.core.capacity;

import java.util.ArrayList;
import org.eiderstair.core.membership.Membership;
import org.eiderstair.core.membership.ReachabilityClassifier;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.provisioning.ProvisioningController;
import org.eiderstair.core.settings.Settings;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.workers.WorkerManager;

/** Which machines are given back because something is wrong with them, and why. */
final class MachineRetirement {
  /** Heard within this time, a machine is not dead after all. */
  private static final long HEARD_AGAIN_MICROS = 1_000_000;

  private static final int BOOT_PATIENCE = 4;

  /** A mark, a request to the cloud that may be slow, and one more. */
  private static final long RETURN_MICROS = 12_000_000;

  private final Settings settings;
  private final EffectSink sink;
  private final Replica replica;
  private final WorkerManager workers;
  private final Membership membership;
  private final ProvisioningController duties;
  private final long term;
  private ReachabilityClassifier survey;
  private int lastSpared;
  private long now;

  MachineRetirement(
      Settings settings,
      EffectSink sink,
      Replica replica,
      WorkerManager workers,
      Membership membership,
      ProvisioningController duties,
      long term) {
    this.settings = settings;
    this.sink = sink;
    this.replica = replica;
    this.workers = workers;
    this.membership = membership;
    this.duties = duties;
    this.term = term;
  }

  /** Whether some machine has been silent for so long that peers are to be asked for it. */
  boolean missesMachines() {
    return survey != null && survey.hasMissingMachines();
  }

  /**
   * Machines that are of no more use: silent, failed to boot, drained, or idle for longer than they
   * are worth.
   */
  void retire(long nowMicros) {
    now = nowMicros;
    survey =
        membership.classify(
            workers.machines().values(),
            workers.reach().unreached(),
            settings.tuning().unreachableDeleteMicros(),
            settings.tuning().partitionedDeleteMicros(),
            now);
    returnOverdue();
    int spared = 0;
    for (Machine m : workers.machines().values()) {
      if (m.plan() == Machine.Plan.TERMINATE) {
        if (m.isPresumedDead() && m.lastContactMicros() > now - HEARD_AGAIN_MICROS) {
          // It was taken for dead, and is heard again.
          m.setPresumedDead(false);
          duties.cancelScaleIn(m.id());
        }
        continue;
      }
      ReachabilityClassifier.Verdict verdict = survey.verdictOf(m);
      m.setPartitioned(verdict == ReachabilityClassifier.Verdict.ZONE_PARTITIONED);
      String why = null;
      if (m.phase() == Machine.Phase.BOOTING) {
        long boot = m.type() == null ? 60_000_000L : m.type().bootMicros();
        why =
            now > m.sinceMicros() + boot * BOOT_PATIENCE && !membership.isReachableByPeer(m.id())
                ? "never came up"
                : null;
      } else if (verdict == ReachabilityClassifier.Verdict.UNREACHABLE) {
        why = survey.evidence(m);
      } else if (m.plan() == Machine.Plan.DRAIN
          && m.attempts().isEmpty()
          && m.phase() == Machine.Phase.CONFIRMED) {
        why = "drained";
      }
      if (why != null) {
        m.setPresumedDead(verdict == ReachabilityClassifier.Verdict.UNREACHABLE);
        returnNow(m, m.isPresumedDead() ? "silent: " + why : why);
      } else if (verdict.isOverdue()) {
        spared++;
      }
    }
    if (spared != lastSpared) {
      lastSpared = spared;
      sink.info("silent machines spared: " + spared + ", " + survey.evidence() + ", term=" + term);
    }
  }

  /**
   * A task of a cancelled job that is not shown to be gone goes with its machine, while that can
   * still be in time: a machine that hangs, or does not obey, must have nothing to go on with.
   * Leases mostly end sooner; this asks nobody's clock but ours.
   */
  private void returnOverdue() {
    long since = now - settings.cancelMicros() + RETURN_MICROS;
    for (Job job : replica.cancelledLately(now)) {
      if (job.cancelledMicros() < since) {
        for (Attempt a : new ArrayList<>(job.active.values())) {
          if (a.mayBeOnMachine() && a.machine().plan() != Machine.Plan.TERMINATE) {
            returnNow(
                a.machine(),
                "not shown to have ended "
                    + a.task()
                    + ", cancelled "
                    + (now - job.cancelledMicros()) / 1000
                    + " ms ago");
          }
        }
      }
    }
  }

  void returnNow(Machine m, String why) {
    sink.info("returning machine " + m.id() + ": " + why + ", term=" + term);
    leave(m);
    duties.scaleIn(m.id());
  }

  /** Nothing is placed on it any more; what it runs goes on until it is gone. */
  void leave(Machine m) {
    workers.drain(m);
    m.terminate();
  }
}
