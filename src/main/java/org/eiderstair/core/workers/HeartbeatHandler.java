package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.eiderstair.core.leadership.Leadership;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.EffectSink;
import org.eiderstair.core.message.ReplicationBatch;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
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
  private static final long FAILURE_PAUSE_MICROS = 1_000_000;
  private static final long MAX_PAUSE_MICROS = 60_000_000;

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
    if (report.fencingToken() >> 20 > term) {
      sink.respond(exchange, new Answer.Redirect(null));
      leadership.deposed(
          "machine " + report.machine() + " has seen token " + report.fencingToken());
      return;
    }
    if (registry.isTerminated(report.machine())) {
      sink.respond(exchange, new Answer.Failure(503, "machine was deleted", 0));
      return;
    }
    Machine m = registry.machines().get(report.machine());
    if (m == null) {
      sink.info("machine " + report.machine() + " appeared, term=" + term);
      m =
          registry.expect(
              report.machine(), report.address(), report.type(), report.zone(), report.spot());
    }
    PendingHeartbeat.Standing standing =
        m.pendingReport.standing(report.incarnation(), m.incarnation, report.sequence());
    if (standing != PendingHeartbeat.Standing.OPEN) {
      // A copy, or one held on its way: its worker has given it up. It proves, renews and launches
      // nothing.
      dispatcher.refuse(exchange, standing.toString());
      return;
    }
    if (!relayed) {
      reach.reportedDirectly();
    }
    if (m.address == null || m.typeName == null || !m.registered) {
      registry.describe(m, report.address(), report.type(), report.zone(), report.spot());
    }
    if (!m.registered && m.plan != Machine.Plan.TERMINATE) {
      stateWriter.register(m);
    }
    m.relayed = relayed;
    absorb(m, report, true, !m.commandInFlight);
    if (m.phase == Machine.Phase.UNCONFIRMED) {
      // The answer shows it our token, and it reports again at once: asking would only cost time.
      dispatcher.tellsItself(m);
    }
    dispatcher.toAnswer(m, report.sequence(), exchange);
  }

  /**
   * Takes a machine's account of itself. {@code settles} is false while a command is on its way,
   * since the account may have been written before that command arrived. Only a report settles what
   * went with an answer to an earlier report: the body of /commands or /status may be written while
   * that answer is still on its way.
   */
  private void absorb(Machine m, Heartbeat report, boolean isReport, boolean settles) {
    if (!report.newerThan(m.incarnation, m.sequence)) {
      return;
    }
    m.lastHeartbeatMicros = time.nowMicros();
    if (report.incarnation() > m.incarnation && m.incarnation > 0) {
      sink.info(
          "machine "
              + m.id
              + " lost its lease and began session "
              + report.incarnation()
              + ", term="
              + term);
      tracker.freeAll(m, "new session");
      dispatcher.newIncarnation(m);
      // Found by the simulator (a leader cut from its workers): a new session has its full lease
      // from its own beginning, whenever we last answered the session before.
      registry.answered(m);
    }
    if (report.incarnation() != m.incarnation) {
      standby.change(new ReplicationBatch.Change(true, m.id, report.incarnation(), "", 0, 0));
    }
    m.incarnation = report.incarnation();
    m.sequence = report.sequence();
    if (report.noticeMicros() != Heartbeat.NO_NOTICE && m.plan == Machine.Plan.ACTIVE) {
      sink.info("machine " + m.id + " has notice, term=" + term);
      drain(m);
      saveProgress(m, report.noticeMicros());
    }
    boolean truth = report.fencingToken() >= m.fencingToken();
    if (truth && m.phase != Machine.Phase.CONFIRMED) {
      boolean fenced = m.phase == Machine.Phase.FENCING;
      registry.become(m, Machine.Phase.CONFIRMED);
      if (!fenced) {
        sink.info("machine " + m.id + " heard, term=" + term);
        registry.answered(m);
        m.idleSinceMicros = time.nowMicros();
      }
    }
    if (!truth
        && (m.phase == Machine.Phase.UNCONFIRMED
            || m.phase == Machine.Phase.RECOVERED
            || m.phase == Machine.Phase.FENCING)) {
      // Older commands may still arrive there; what it shows proves nothing yet.
      return;
    }
    readEntries(m, report, isReport && truth, settles && truth);
    if (!truth && m.phase == Machine.Phase.BOOTING && report.fencingToken() > 0) {
      holdNoLongerThanItsLease(m);
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
  private void holdNoLongerThanItsLease(Machine m) {
    sink.info("machine " + m.id + " is unknown and shows an earlier term's token, term=" + term);
    registry.become(m, Machine.Phase.FENCING);
    registry.answered(m);
    m.idleSinceMicros = time.nowMicros();
  }

  private void readEntries(
      Machine m, Heartbeat report, boolean settlesAnswers, boolean settlesCommands) {
    m.orphans.clear();
    m.reaps.clear();
    Set<TaskId> shown = new HashSet<>();
    for (Heartbeat.Entry entry : report.tasks()) {
      shown.add(entry.task());
      if (entry.state() == Heartbeat.TaskState.ENDED) {
        ended(m, entry);
      } else {
        alive(m, entry);
      }
    }
    for (Attempt a : new ArrayList<>(m.attempts.values())) {
      boolean settled =
          switch (a.phase) {
            case QUEUED, PLANNED -> false;
            case SENT ->
                a.sentSequence < 0
                    ? settlesCommands
                    : settlesAnswers && report.sequence() > a.sentSequence;
            case SEEN -> true;
          };
      if (settled && !shown.contains(a.task())) {
        tracker.free(a, "not on the machine");
      }
    }
    if (!m.attempts.isEmpty()) {
      m.idleSinceMicros = time.nowMicros();
    }
    m.measureRoom();
    tracker.roomChanged(m);
  }

  private void alive(Machine m, Heartbeat.Entry entry) {
    Job job = replica.jobs.get(entry.task().job());
    Attempt known = m.attempts.get(entry.task());
    if (known != null && known.number == entry.attempt()) {
      if (known.phase != Attempt.Phase.SEEN) {
        known.phase = Attempt.Phase.SEEN;
      }
      if (known.shown != entry.state()) {
        known.shown = entry.state();
        m.useImage(known.spec);
        if (entry.state() == Heartbeat.TaskState.RUNNING) {
          known.runningSinceMicros = time.nowMicros();
          noteRunning(known.job);
        }
      }
      return;
    }
    boolean wanted =
        job != null
            && job.open()
            && known == null
            && entry.task().index() < job.tasks()
            && !job.done.get(entry.task().index())
            && !job.active.containsKey(entry.task().index());
    if (!wanted) {
      if (job != null && !job.open() && known == null && job.spec() != null) {
        adopt(m, job, entry);
      } else {
        m.orphans.put(entry.task(), new Order.Kill(entry.task(), entry.attempt(), 0));
      }
      return;
    }
    sink.debug("task " + entry.task() + " found on " + m.id + ", term=" + term);
    adopt(m, job, entry);
    noteRunning(job);
  }

  private void adopt(Machine m, Job job, Heartbeat.Entry entry) {
    Attempt a =
        new Attempt(
            job, entry.task().index(), entry.attempt(), m, Attempt.Phase.SEEN, time.nowMicros());
    a.shown = entry.state();
    a.runningSinceMicros = time.nowMicros();
    m.useImage(job.spec());
    tracker.attach(a);
    tracker.tell(a, true);
  }

  private void noteRunning(Job job) {
    if (job.open() && job.shownRunning == 0) {
      stateWriter.progressed(job);
    }
  }

  private void ended(Machine m, Heartbeat.Entry entry) {
    TaskId task = entry.task();
    Order.Reap reap = new Order.Reap(task, entry.attempt());
    Job job = replica.jobs.get(task.job());
    Attempt known = m.attempts.get(task);
    boolean ours = known != null && known.number == entry.attempt();
    if (ours) {
      tracker.remove(known);
    }
    if (entry.exit() == Heartbeat.Exit.DONE
        && job != null
        && job.open()
        && task.index() < job.tasks()) {
      if (!job.done.get(task.index())) {
        job.done.set(task.index());
        job.failedOn.clear();
        job.failedRounds = 0;
        m.errorsInRow = 0;
        m.failedJobs.clear();
        boolean all =
            job.spec().shape() == JobSpec.Shape.ARRAY && job.done.cardinality() == job.tasks();
        if (all) {
          stateWriter.finished(job);
        } else {
          stateWriter.progressed(job);
        }
      }
      // Forgotten only once durable: until then the machine's own record is the only proof.
      if (job.durable.get(task.index())) {
        m.reaps.put(task, reap);
      }
      return;
    }
    m.reaps.put(task, reap);
    if (!ours || job == null || !job.open()) {
      return;
    }
    switch (entry.exit()) {
      case ERROR -> failed(m, job, task);
      case NO_ROOM, BUSY, UNKNOWN_JOB -> {
        sink.debug("task " + task + " refused by " + m.id + ": " + entry.exit() + ", term=" + term);
        m.holdUntilMicros = time.nowMicros() + 1_000_000;
        availableMachines.remove(m);
      }
      default -> {}
    }
  }

  /** Tells a machine that fails everything from a job that fails everywhere. */
  private void failed(Machine m, Job job, TaskId task) {
    sink.info("task " + task + " failed on " + m.id + ", term=" + term);
    boolean again = !job.failedOn.add(m.id);
    if ((again || job.failedOn.size() > 1) && time.nowMicros() >= job.notBeforeMicros) {
      job.failedRounds++;
      long pause = FAILURE_PAUSE_MICROS << Math.min(job.failedRounds, 6);
      job.notBeforeMicros = time.nowMicros() + Math.min(MAX_PAUSE_MICROS, pause);
    }
    m.errorsInRow++;
    if (!job.done.isEmpty() || job.failedOn.size() == 1) {
      m.failedJobs.add(job.id);
    }
    // A job with a mistake fails wherever it goes: it alone may cost one machine, never one after
    // another.
    boolean faulty =
        m.failedJobs.size() >= 2 && m.errorsInRow >= 3
            || job.failedOn.size() == 1 && m.errorsInRow >= 6;
    if (faulty && m.plan == Machine.Plan.ACTIVE) {
      sink.info(
          "machine "
              + m.id
              + " fails the tasks of "
              + m.failedJobs.size()
              + " jobs: draining, term="
              + term);
      drain(m);
    }
  }

  /** No new work; what waits for it at the leader goes back to the common queue. */
  void drain(Machine m) {
    m.plan = Machine.Plan.DRAIN;
    tracker.unplan(m);
    registry.updateQueueable(m);
    tracker.noteChange();
  }

  /**
   * Before a machine is taken away, tasks that can save in time are told to; the others may yet
   * complete.
   */
  private void saveProgress(Machine m, long noticeMicros) {
    for (Attempt a : m.attempts.values()) {
      if (a.spec.checkpointEveryMicros() > 0
          && a.spec.saveMicros() + SAVE_MARGIN_MICROS <= noticeMicros) {
        a.stop = true;
        dispatcher.killSoon(m);
      }
    }
  }
}
