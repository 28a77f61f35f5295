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
 * Adds attempts to machines and removes them. Each operation has a single method, which updates
 * free resources, team usage, queues and the standby's replica incrementally.
 */
final class AttemptTracker {
  /** An attempt number holds the term above this many counter bits, so that it is never reused. */
  private static final int ATTEMPT_COUNTER_BITS = 31;

  private final TermContext context;
  private final AvailableMachines availableMachines;
  private final TeamQuotas quotas;
  private final CommandQueue commandQueue;
  private final Set<Machine> queuesToServe = new LinkedHashSet<>();
  private final Set<Machine> queuesToServeView = Collections.unmodifiableSet(queuesToServe);
  private long attemptCount;
  private Consumer<Job> jobStartedListener = job -> {};
  private boolean placementRequested = true;

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

  /**
   * Returns a read-only view of the machines with queued attempts whose free resources may have
   * grown since {@link #clearQueuesToServe}.
   */
  Set<Machine> queuesToServe() {
    return queuesToServeView;
  }

  /** Clears the set of queues to serve, after all of them have been served. */
  void clearQueuesToServe() {
    queuesToServe.clear();
  }

  /** Clears the request for a placement pass. */
  void clearPlacementRequest() {
    placementRequested = false;
  }

  /** Returns whether a change since the last clear may allow a task to be placed. */
  boolean isPlacementRequested() {
    return placementRequested;
  }

  /** Requests a placement pass, because a change may allow a task to be placed. */
  void requestPlacement() {
    placementRequested = true;
  }

  /** Sets the listener that is called when the first task of a job is placed. */
  void setJobStartedListener(Consumer<Job> listener) {
    jobStartedListener = listener;
  }

  /** Returns a new attempt number, which is unique across all terms. */
  long nextAttempt() {
    long base = Math.multiplyExact(context.term(), 1L << ATTEMPT_COUNTER_BITS);
    return Math.addExact(base, ++attemptCount);
  }

  /** Adds an attempt to its machine and job. Reserves its resources unless it is queued. */
  void attach(Attempt attempt) {
    attempt.machine().addAttempt(attempt);
    attempt.job().addAttempt(attempt);
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      attempt.machine().enqueue(attempt);
    } else {
      reserveResources(attempt);
    }
  }

  /** Reserves the resources of an attempt. A queued attempt leaves its queue and is planned. */
  void reserveResources(Attempt attempt) {
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      dequeue(attempt);
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

  private void dequeue(Attempt attempt) {
    attempt.machine().dequeue(attempt);
    attempt.job().dequeue(attempt);
  }

  /**
   * Removes an attempt from its machine and job, as the inverse of {@link #attach}. Does nothing if
   * the attempt is not on its machine.
   */
  void remove(Attempt attempt) {
    if (!attempt.machine().removeAttempt(attempt)) {
      return;
    }
    if (attempt.phase() == Attempt.Phase.QUEUED) {
      dequeue(attempt);
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
    placementRequested = true;
  }

  /**
   * Removes an attempt that is proven not to be on its machine, so that its task can be placed
   * again.
   *
   * @param reason the proof, for the log
   */
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

  /** Frees all attempts on a machine that is proven to run no task. */
  void freeAll(Machine machine, String reason) {
    for (Attempt attempt : new ArrayList<>(machine.attempts())) {
      free(attempt, reason);
    }
    machine.clearReportedTasks();
    machine.forgetImages();
  }

  /** Frees the attempts that were not sent yet to a machine that accepts no new work. */
  void freeUnsentAttempts(Machine machine) {
    availableMachines.remove(machine);
    for (Attempt attempt : new ArrayList<>(machine.attempts())) {
      if (!attempt.mayBeOnMachine()) {
        free(attempt, "machine accepts no new work");
      }
    }
  }

  /**
   * Offers a machine and its queue for placement, if the machine is usable and has free resources.
   * Called when its free resources may have grown.
   */
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
   * Replicates an attempt to the standby.
   *
   * @param present true if the attempt may now be on its machine, false if it no longer is
   */
  void replicate(Attempt attempt, boolean present) {
    context.standby().replicate(toChange(attempt, present));
  }

  /** Returns the change that replicates an attempt to the standby. */
  static ReplicationBatch.Change toChange(Attempt attempt, boolean present) {
    return new ReplicationBatch.Change(
        present,
        attempt.machine().id(),
        attempt.machine().incarnation(),
        attempt.job().id(),
        attempt.index(),
        attempt.number());
  }
}
