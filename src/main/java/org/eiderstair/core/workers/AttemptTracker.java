package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
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
  private final Set<Machine> toServe = new LinkedHashSet<>();
  private long attempts;
  private Consumer<Job> begun = job -> {};
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
  Set<Machine> toServe() {
    return toServe;
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
  void begun(Consumer<Job> told) {
    begun = told;
  }

  long nextAttempt() {
    return Math.addExact(Math.multiplyExact(term, 1L << 31), ++attempts);
  }

  /**
   * An attempt comes to stand on a machine: the one place where that happens, so that room, team
   * use and queues are kept by increments. One that only waits at the leader uses nothing yet.
   */
  void attach(Attempt a) {
    a.machine.attempts.put(a.task(), a);
    a.job.active.put(a.index, a);
    if (a.phase == Attempt.Phase.QUEUED) {
      List<Attempt> queue = a.machine.queue;
      int at = queue.size();
      while (at > 0 && queue.get(at - 1).job.rank > a.job.rank) {
        at--;
      }
      queue.add(at, a);
      a.job.queued.add(a);
    } else {
      occupy(a);
    }
  }

  /** A waiting attempt gets its machine's room, or a new one comes with it. */
  void occupy(Attempt a) {
    if (a.phase == Attempt.Phase.QUEUED) {
      leaveQueue(a);
      a.phase = Attempt.Phase.PLANNED;
    }
    teams.add(a.spec, 1);
    a.machine.take(a.spec);
    if (!a.job.begun) {
      a.job.begun = true;
      begun.accept(a.job);
    }
    if (a.phase == Attempt.Phase.PLANNED) {
      a.machine.useImage(a.spec);
      a.machine.toLaunch.add(a);
      planned.accept(a.machine);
    }
    if (!a.machine.hasRoom()) {
      availableMachines.remove(a.machine);
    }
  }

  private void leaveQueue(Attempt a) {
    a.machine.queue.remove(a);
    a.job.queued.remove(a);
  }

  /** An attempt is gone from its machine: the opposite of {@link #attach}. */
  void remove(Attempt a) {
    if (!a.machine.attempts.remove(a.task(), a)) {
      return;
    }
    if (a.phase == Attempt.Phase.QUEUED) {
      leaveQueue(a);
    } else {
      teams.add(a.spec, -1);
      a.machine.give(a.spec);
      if (a.phase == Attempt.Phase.PLANNED) {
        a.machine.toLaunch.remove(a);
      } else {
        tell(a, false);
      }
      roomChanged(a.machine);
    }
    if (a.job.active.get(a.index) == a) {
      a.job.active.remove(a.index);
      a.job.freed(a.index);
    }
    a.machine.idleSinceMicros = time.nowMicros();
    changed = true;
  }

  void free(Attempt a, String why) {
    sink.debug(
        "task "
            + a.task()
            + " attempt "
            + a.number
            + " free from "
            + a.machine.id
            + ": "
            + why
            + ", term="
            + term);
    remove(a);
  }

  void freeAll(Machine m, String why) {
    for (Attempt a : new ArrayList<>(m.attempts.values())) {
      free(a, why);
    }
    m.orphans.clear();
    m.reaps.clear();
    m.forgetImages();
  }

  void unplan(Machine m) {
    availableMachines.remove(m);
    for (Attempt a : new ArrayList<>(m.attempts.values())) {
      if (a.phase == Attempt.Phase.QUEUED || a.phase == Attempt.Phase.PLANNED) {
        free(a, "machine not usable");
      }
    }
  }

  /** The machine may have got room: it gets its token, and what waits for it its turn. */
  void roomChanged(Machine m) {
    if (m.plan == Machine.Plan.ACTIVE && m.known() && m.hasRoom()) {
      availableMachines.offer(m);
      if (!m.queue.isEmpty()) {
        toServe.add(m);
      }
    }
  }

  /** Tells the standby of an attempt that may be on its machine from now on, or is not any more. */
  void tell(Attempt a, boolean there) {
    standby.change(
        new ReplicationBatch.Change(
            there, a.machine.id, a.machine.incarnation, a.job.id, a.index, a.number));
  }
}
