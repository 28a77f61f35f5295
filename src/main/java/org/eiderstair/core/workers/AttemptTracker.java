package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.quota.TeamQuotas;
import org.eiderstair.core.standby.Standby;

/**
 * Where each attempt stands. It comes to a machine and leaves it in one place each, so that room,
 * the teams' use, queues and the standby's picture are kept by increments.
 */
final class AttemptTracker {
  private final EffectSink sink;
  private final EventTime time;
  private final AvailableMachines availableMachines;
  private final TeamQuotas teams;
  private final Standby standby;
  private final long term;
  private final Set<Machine> queuesToServe = new LinkedHashSet<>();
  private long attempts;
  private Consumer<Job> jobStartedListener = job -> {};
  private Consumer<Machine> planned = machine -> {};

  /** Set whenever something changed that may let a task be placed. */
  private boolean changed = true;

  AttemptTracker(
      EffectSink sink,
      EventTime time,
      AvailableMachines availableMachines,
      TeamQuotas teams,
      Standby standby,
      long term) {
    this.sink = sink;
    this.time = time;
    this.availableMachines = availableMachines;
    this.teams = teams;
    this.standby = standby;
    this.term = term;
  }

  /** Who is to be told that a machine has something to launch. */
  void planned(Consumer<Machine> told) {
    planned = told;
  }

  /** Machines with waiting attempts that may have got room. */
  Set<Machine> queuesToServe() {
    return queuesToServe;
  }

  /** From now on only what changes later counts. */
  void clearChange() {
    changed = false;
  }

  /** Whether something changed that may let a task be placed. */
  boolean changed() {
    return changed;
  }

  void noteChange() {
    changed = true;
  }

  /** Who is to be told when the first task of a job is placed. */
  void onJobStarted(Consumer<Job> listener) {
    jobStartedListener = listener;
  }

  long nextAttempt() {
    return Math.addExact(Math.multiplyExact(term, 1L << 31), ++attempts);
  }

  /**
   * An attempt comes to stand on a machine: the one place where that happens, so that room, team
   * use and queues are kept by increments. One that only waits at the leader uses nothing yet.
   */
  void attach(Attempt attempt) {
    attempt.machine().addAttempt(attempt);
    attempt.job().addAttempt(attempt);
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      attempt.machine().enqueue(attempt);
    } else {
      occupy(attempt);
    }
  }

  /** A waiting attempt gets its machine's room, or a new one comes with it. */
  void occupy(Attempt attempt) {
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      leaveQueue(attempt);
      attempt.plan();
    }
    teams.acquire(attempt.spec());
    attempt.machine().reserve(attempt.spec());
    if (attempt.job().markStarted()) {
      jobStartedListener.accept(attempt.job());
    }
    if (attempt.phase() == Attempt.Phase.PLANNED) {
      attempt.machine().useImage(attempt.spec());
      attempt.machine().planLaunch(attempt);
      planned.accept(attempt.machine());
    }
    if (!attempt.machine().hasFreeResources()) {
      availableMachines.remove(attempt.machine());
    }
  }

  private void leaveQueue(Attempt attempt) {
    attempt.machine().dequeue(attempt);
    attempt.job().dequeue(attempt);
  }

  /** An attempt is gone from its machine: the opposite of {@link #attach}. */
  void remove(Attempt attempt) {
    if (!attempt.machine().removeAttempt(attempt)) {
      return;
    }
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      leaveQueue(attempt);
    } else {
      teams.release(attempt.spec());
      attempt.machine().release(attempt.spec());
      if (attempt.phase() == Attempt.Phase.PLANNED) {
        attempt.machine().cancelLaunch(attempt);
      } else {
        tell(attempt, false);
      }
      roomChanged(attempt.machine());
    }
    attempt.job().removeAttempt(attempt);
    attempt.machine().markInUse(time.nowMicros());
    changed = true;
  }

  void free(Attempt attempt, String why) {
    sink.debug(
        "task "
            + attempt.task()
            + " attempt "
            + attempt.number()
            + " free from "
            + attempt.machine().id()
            + ": "
            + why
            + ", term="
            + term);
    remove(attempt);
  }

  void freeAll(Machine machine, String why) {
    for (Attempt attempt : new ArrayList<>(machine.attempts())) {
      free(attempt, why);
    }
    machine.clearReportedTasks();
    machine.forgetImages();
  }

  void unplan(Machine machine) {
    availableMachines.remove(machine);
    for (Attempt attempt : new ArrayList<>(machine.attempts())) {
      if (attempt.phase() == Attempt.Phase.QUEUED || attempt.phase() == Attempt.Phase.PLANNED) {
        free(attempt, "machine not usable");
      }
    }
  }

  /** The machine may have got room: it gets its token, and what waits for it its turn. */
  void roomChanged(Machine machine) {
    if (machine.plan() == Machine.Plan.ACTIVE && machine.known() && machine.hasFreeResources()) {
      availableMachines.offer(machine);
      if (!machine.queue().isEmpty()) {
        queuesToServe.add(machine);
      }
    }
  }

  /** Tells the standby of an attempt that may be on its machine from now on, or is not any more. */
  void tell(Attempt attempt, boolean there) {
    standby.replicate(
        new ReplicationBatch.Change(
            there,
            attempt.machine().id(),
            attempt.machine().incarnation(),
            attempt.job().id,
            attempt.index(),
            attempt.number()));
  }
}
