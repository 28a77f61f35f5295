package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.Set;
import java.util.function.Consumer;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.quota.TeamQuotas;

/**
 * Places attempts on machines and frees them. Each happens in one method, so that free resources,
 * the teams' use, queues and the standby's replica are kept by increments.
 */
final class AttemptTracker {
  /** The term stands above the counter in an attempt's number, so that none is used twice. */
  private static final int NUMBER_BITS = 31;

  private final TermContext context;
  private final AvailableMachines availableMachines;
  private final TeamQuotas quotas;
  private final CommandQueue commandQueue;
  private final Set<Machine> queuesToServe = new LinkedHashSet<>();
  private final Set<Machine> queuesToServeView = Collections.unmodifiableSet(queuesToServe);
  private long attemptCount;
  private Consumer<Job> jobStartedListener = job -> {};
  private boolean changed = true;

  AttemptTracker(
      TermContext context,
      AvailableMachines availableMachines,
      TeamQuotas quotas,
      CommandQueue commandQueue) {
    this.context = context;
    this.availableMachines = availableMachines;
    this.quotas = quotas;
    this.commandQueue = commandQueue;
  }

  /** Machines with a queue that may have got free resources since the last pass. */
  Set<Machine> queuesToServe() {
    return queuesToServeView;
  }

  /** All queues have been served. */
  void clearQueuesToServe() {
    queuesToServe.clear();
  }

  /** From now on only what changes later counts. */
  void clearChange() {
    changed = false;
  }

  /** Whether something changed that may let a task be placed. */
  boolean hasChanged() {
    return changed;
  }

  /** Something changed that may let a task be placed. */
  void noteChange() {
    changed = true;
  }

  /** Sets who is called when the first task of a job is placed. */
  void onJobStarted(Consumer<Job> listener) {
    jobStartedListener = listener;
  }

  /** A new attempt number; never used before, in any term. */
  long nextAttempt() {
    long base = Math.multiplyExact(context.term(), 1L << NUMBER_BITS);
    return Math.addExact(base, ++attemptCount);
  }

  /** Places an attempt on its machine. One that only waits at the leader uses no resources yet. */
  void attach(Attempt attempt) {
    attempt.machine().addAttempt(attempt);
    attempt.job().addAttempt(attempt);
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      attempt.machine().enqueue(attempt);
    } else {
      occupy(attempt);
    }
  }

  /** Reserves the resources of an attempt; one that waited for them is planned. */
  void occupy(Attempt attempt) {
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      leaveQueue(attempt);
      attempt.markPlanned();
    }
    quotas.acquire(attempt.spec());
    attempt.machine().reserve(attempt.spec());
    if (attempt.job().markStarted()) {
      jobStartedListener.accept(attempt.job());
    }
    if (attempt.phase() == Attempt.Phase.PLANNED) {
      attempt.machine().useImage(attempt.spec());
      attempt.machine().planLaunch(attempt);
      commandQueue.scheduleLaunches(attempt.machine());
    }
    if (!attempt.machine().hasFreeResources()) {
      availableMachines.remove(attempt.machine());
    }
  }

  private void leaveQueue(Attempt attempt) {
    attempt.machine().dequeue(attempt);
    attempt.job().dequeue(attempt);
  }

  /** Removes an attempt from its machine: the opposite of {@link #attach}. */
  void remove(Attempt attempt) {
    if (!attempt.machine().removeAttempt(attempt)) {
      return;
    }
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      leaveQueue(attempt);
    } else {
      quotas.release(attempt.spec());
      attempt.machine().release(attempt.spec());
      if (attempt.phase() == Attempt.Phase.PLANNED) {
        attempt.machine().cancelLaunch(attempt);
      } else {
        replicate(attempt, false);
      }
      freeResourcesChanged(attempt.machine());
    }
    attempt.job().removeAttempt(attempt);
    attempt.machine().markInUse(context.nowMicros());
    changed = true;
  }

  /** Removes an attempt that is proven not to be on its machine; its task is placed again. */
  void free(Attempt attempt, String reason) {
    context.debug(
        "task="
            + attempt.task()
            + " attempt="
            + attempt.number()
            + " freed from machine="
            + attempt.machine().id()
            + ": "
            + reason);
    remove(attempt);
  }

  /** Frees everything on a machine that is proven to hold nothing. */
  void freeAll(Machine machine, String reason) {
    for (Attempt attempt : new ArrayList<>(machine.attempts())) {
      free(attempt, reason);
    }
    machine.clearReportedTasks();
    machine.forgetImages();
  }

  /** Frees what has not been sent to a machine that gets no more work. */
  void unplan(Machine machine) {
    availableMachines.remove(machine);
    for (Attempt attempt : new ArrayList<>(machine.attempts())) {
      if (!attempt.mayBeOnMachine()) {
        free(attempt, "machine not usable");
      }
    }
  }

  /** A machine may have got free resources: it is offered for placement, and so is its queue. */
  void freeResourcesChanged(Machine machine) {
    if (machine.plan() == Machine.Plan.ACTIVE
        && machine.isStateKnown()
        && machine.hasFreeResources()) {
      availableMachines.offer(machine);
      if (!machine.queue().isEmpty()) {
        queuesToServe.add(machine);
      }
    }
  }

  /**
   * Tells the standby of an attempt.
   *
   * @param present whether it may be on its machine from now on, or is not any more
   */
  void replicate(Attempt attempt, boolean present) {
    context.standby().replicate(change(attempt, present));
  }

  /** What the standby is told of an attempt. */
  static ReplicationBatch.Change change(Attempt attempt, boolean present) {
    return new ReplicationBatch.Change(
        present,
        attempt.machine().id(),
        attempt.machine().incarnation(),
        attempt.job().id(),
        attempt.index(),
        attempt.number());
  }
}
