package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.PendingHeartbeat;
import org.eiderstair.core.model.TaskId;
import org.eiderstair.core.standby.Standby;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;

/**
 * Reads machines' accounts of themselves. A task comes free here only on proof: a newer report
 * without it once its launch is settled, or a new session.
 */
final class HeartbeatHandler {
  private static final long SAVE_MARGIN_MICROS = 1_500_000;

  private final EffectSink sink;
  private final EventTime time;
  private final Replica replica;
  private final Leadership leadership;
  private final StateWriter stateWriter;
  private final AvailableMachines availableMachines;
  private final Standby standby;
  private final WorkerRegistry registry;
  private final AttemptTracker tracker;
  private final CommandDispatcher dispatcher;
  private final WorkerReachability reach;
  private final long term;

  HeartbeatHandler(
      EffectSink sink,
      EventTime time,
      Replica replica,
      Leadership leadership,
      StateWriter stateWriter,
      AvailableMachines availableMachines,
      Standby standby,
      WorkerRegistry registry,
      AttemptTracker tracker,
      CommandDispatcher dispatcher,
      WorkerReachability reach,
      long term) {
    this.sink = sink;
    this.time = time;
    this.replica = replica;
    this.leadership = leadership;
    this.stateWriter = stateWriter;
    this.availableMachines = availableMachines;
    this.standby = standby;
    this.registry = registry;
    this.tracker = tracker;
    this.dispatcher = dispatcher;
    this.reach = reach;
    this.term = term;
    dispatcher.replies((machine, report, settles) -> absorb(machine, report, false, settles));
  }

  /**
   * A worker's report. Its answer renews the lease and carries what the machine must stop, forget
   * and, decided in the next pass, launch; so a machine whose task ended gets its next one without
   * another message.
   */
  void reported(long exchange, Heartbeat report, boolean relayed) {
    if (report.fencingToken().term() > term) {
      sink.respond(exchange, new Answer.Redirect(null));
      leadership.deposed(
          "machine " + report.machine() + " has seen token " + report.fencingToken());
      return;
    }
    if (registry.isTerminated(report.machine())) {
      sink.respond(exchange, new Answer.Failure(503, "machine was deleted", 0));
      return;
    }
    Machine machine = registry.machines().get(report.machine());
    if (machine == null) {
      sink.info("machine " + report.machine() + " appeared, term=" + term);
      machine =
          registry.expect(
              report.machine(), report.address(), report.type(), report.zone(), report.spot());
    }
    PendingHeartbeat.Standing standing =
        machine
            .pendingHeartbeat()
            .standing(report.incarnation(), machine.incarnation(), report.sequence());
    if (standing != PendingHeartbeat.Standing.OPEN) {
      // A copy, or one held on its way: its worker has given it up. It proves, renews and launches
      // nothing.
      dispatcher.refuse(exchange, standing.toString());
      return;
    }
    if (!relayed) {
      reach.reportedDirectly();
    }
    if (machine.address() == null || machine.typeName() == null || !machine.isRegistered()) {
      registry.describe(machine, report.address(), report.type(), report.zone(), report.spot());
    }
    if (!machine.isRegistered() && machine.plan() != Machine.Plan.TERMINATE) {
      stateWriter.register(machine);
    }
    machine.setRelayed(relayed);
    absorb(machine, report, true, !machine.commands().isInFlight());
    if (machine.phase() == Machine.Phase.UNCONFIRMED) {
      // The answer shows it our token, and it reports again at once: asking would only cost time.
      dispatcher.tellsItself(machine);
    }
    dispatcher.toAnswer(machine, report.sequence(), exchange);
  }

  /**
   * Takes a machine's account of itself. {@code settles} is false while a command is on its way,
   * since the account may have been written before that command arrived. Only a report settles what
   * went with an answer to an earlier report: the body of /commands or /status may be written while
   * that answer is still on its way.
   */
  private void absorb(Machine machine, Heartbeat report, boolean isReport, boolean settles) {
    if (!report.newerThan(machine.incarnation(), machine.sequence())) {
      return;
    }
    machine.recordContact(time.nowMicros());
    if (report.incarnation() > machine.incarnation() && machine.incarnation() > 0) {
      sink.info(
          "machine "
              + machine.id()
              + " lost its lease and began session "
              + report.incarnation()
              + ", term="
              + term);
      tracker.freeAll(machine, "new session");
      dispatcher.newIncarnation(machine);
      // Found by the simulator (a leader cut from its workers): a new session has its full lease
      // from its own beginning, whenever we last answered the session before.
      registry.answered(machine);
    }
    if (report.incarnation() != machine.incarnation()) {
      standby.replicate(
          new ReplicationBatch.Change(true, machine.id(), report.incarnation(), "", 0, 0));
    }
    machine.advanceTo(report.incarnation(), report.sequence());
    if (report.noticeMicros() != Heartbeat.NO_NOTICE && machine.plan() == Machine.Plan.ACTIVE) {
      sink.info("machine " + machine.id() + " has notice, term=" + term);
      drain(machine);
      saveProgress(machine, report.noticeMicros());
    }
    boolean truth = report.fencingToken().isAtLeast(machine.fencingToken());
    if (truth && machine.phase() != Machine.Phase.CONFIRMED) {
      boolean fenced = machine.phase() == Machine.Phase.FENCING;
      registry.become(machine, Machine.Phase.CONFIRMED);
      if (!fenced) {
        sink.info("machine " + machine.id() + " heard, term=" + term);
        registry.answered(machine);
        machine.markInUse(time.nowMicros());
      }
    }
    if (!truth
        && (machine.phase() == Machine.Phase.UNCONFIRMED
            || machine.phase() == Machine.Phase.RECOVERED
            || machine.phase() == Machine.Phase.FENCING)) {
      // Older commands may still arrive there; what it shows proves nothing yet.
      return;
    }
    readEntries(machine, report, isReport && truth, settles && truth);
    if (!truth
        && machine.phase() == Machine.Phase.BOOTING
        && report.fencingToken().compareTo(FencingToken.NONE) > 0) {
      holdNoLongerThanItsLease(machine);
    }
    tracker.noteChange();
  }

  /**
   * A machine that neither the roster nor a rental of this term explains shows a token of an
   * earlier term: its report was held on its way, and the machine was deleted meanwhile. No such
   * machine can hold anything, since each is in the roster from before its first launch until it is
   * gone. What the report shows counts all the same, but only until the machine's lease would be
   * over, or until it answers our question; without this it held its tasks back until it counted as
   * never booted.
   */
  private void holdNoLongerThanItsLease(Machine machine) {
    sink.info(
        "machine " + machine.id() + " is unknown and shows an earlier term's token, term=" + term);
    registry.become(machine, Machine.Phase.FENCING);
    registry.answered(machine);
    machine.markInUse(time.nowMicros());
  }

  private void readEntries(
      Machine machine, Heartbeat report, boolean settlesAnswers, boolean settlesCommands) {
    machine.clearReportedTasks();
    Set<TaskId> shown = new HashSet<>();
    for (Heartbeat.Entry entry : report.tasks()) {
      shown.add(entry.task());
      if (entry.state() == Heartbeat.TaskState.ENDED) {
        ended(machine, entry);
      } else {
        alive(machine, entry);
      }
    }
    for (Attempt attempt : new ArrayList<>(machine.attempts())) {
      boolean settled =
          switch (attempt.phase()) {
            case QUEUED, PLANNED -> false;
            case SENT ->
                attempt.sentSequence() < 0
                    ? settlesCommands
                    : settlesAnswers && report.sequence() > attempt.sentSequence();
            case REPORTED -> true;
          };
      if (settled && !shown.contains(attempt.task())) {
        tracker.free(attempt, "not on the machine");
      }
    }
    if (!machine.attempts().isEmpty()) {
      machine.markInUse(time.nowMicros());
    }
    machine.recomputeFreeResources();
    tracker.roomChanged(machine);
  }

  private void alive(Machine machine, Heartbeat.Entry entry) {
    Job job = replica.job(entry.task().job());
    Attempt known = machine.attempt(entry.task());
    if (known != null && known.number() == entry.attempt()) {
      if (known.phase() != Attempt.Phase.REPORTED) {
        known.confirm();
      }
      if (known.reportedState() != entry.state()) {
        known.recordState(entry.state(), time.nowMicros());
        machine.useImage(known.spec());
        if (entry.state() == Heartbeat.TaskState.RUNNING) {
          noteRunning(known.job());
        }
      }
      return;
    }
    boolean wanted =
        job != null
            && job.open()
            && known == null
            && entry.task().index() < job.tasks()
            && !job.isCompleted(entry.task().index())
            && !job.isAttempted(entry.task().index());
    if (!wanted) {
      if (job != null && !job.open() && known == null && job.spec() != null) {
        adopt(machine, job, entry);
      } else {
        machine.addUntrackedTask(new Order.Kill(entry.task(), entry.attempt(), 0));
      }
      return;
    }
    sink.debug("task " + entry.task() + " found on " + machine.id() + ", term=" + term);
    adopt(machine, job, entry);
    noteRunning(job);
  }

  private void adopt(Machine machine, Job job, Heartbeat.Entry entry) {
    Attempt attempt =
        new Attempt(job, entry.task().index(), entry.attempt(), machine, Attempt.Phase.REPORTED);
    attempt.recordFound(entry.state(), time.nowMicros());
    machine.useImage(job.spec());
    tracker.attach(attempt);
    tracker.tell(attempt, true);
  }

  private void noteRunning(Job job) {
    if (job.open() && job.durablyRunning() == 0) {
      stateWriter.writeProgress(job);
    }
  }

  private void ended(Machine machine, Heartbeat.Entry entry) {
    TaskId task = entry.task();
    Order.Acknowledge reap = new Order.Acknowledge(task, entry.attempt());
    Job job = replica.job(task.job());
    Attempt known = machine.attempt(task);
    boolean ours = known != null && known.number() == entry.attempt();
    if (ours) {
      tracker.remove(known);
    }
    if (entry.exit() == Heartbeat.Exit.DONE
        && job != null
        && job.open()
        && task.index() < job.tasks()) {
      if (job.markCompleted(task.index())) {
        machine.failures().reset();
        if (job.allTasksCompleted()) {
          stateWriter.writeFinished(job);
        } else {
          stateWriter.writeProgress(job);
        }
      }
      // Forgotten only once durable: until then the machine's own record is the only proof.
      if (job.isDurablyCompleted(task.index())) {
        machine.acknowledge(reap);
      }
      return;
    }
    machine.acknowledge(reap);
    if (!ours || job == null || !job.open()) {
      return;
    }
    switch (entry.exit()) {
      case ERROR -> failed(machine, job, task);
      case NO_ROOM, BUSY, UNKNOWN_JOB -> {
        sink.debug(
            "task "
                + task
                + " refused by "
                + machine.id()
                + ": "
                + entry.exit()
                + ", term="
                + term);
        machine.holdUntil(time.nowMicros() + 1_000_000);
        availableMachines.remove(machine);
      }
      default -> {}
    }
  }

  /** Tells a machine that fails everything from a job that fails everywhere. */
  private void failed(Machine machine, Job job, TaskId task) {
    sink.info("task " + task + " failed on " + machine.id() + ", term=" + term);
    job.recordFailure(machine.id(), time.nowMicros());
    boolean onlyHere = job.failedMachines() == 1;
    machine.failures().record(job.id, job.hasCompletedTasks() || onlyHere);
    if (machine.failures().isFaulty(onlyHere) && machine.plan() == Machine.Plan.ACTIVE) {
      sink.info(
          "machine "
              + machine.id()
              + " fails the tasks of "
              + machine.failures().failedJobCount()
              + " jobs: draining, term="
              + term);
      drain(machine);
    }
  }

  /** No new work; what waits for it at the leader goes back to the common queue. */
  void drain(Machine machine) {
    machine.drain();
    tracker.unplan(machine);
    registry.updateQueueable(machine);
    tracker.noteChange();
  }

  /**
   * Before a machine is taken away, tasks that can save in time are told to; the others may yet
   * complete.
   */
  private void saveProgress(Machine machine, long noticeMicros) {
    for (Attempt attempt : machine.attempts()) {
      if (attempt.spec().checkpointEveryMicros() > 0
          && attempt.spec().saveMicros() + SAVE_MARGIN_MICROS <= noticeMicros) {
        attempt.requestStop();
        dispatcher.killSoon(machine);
      }
    }
  }
}
