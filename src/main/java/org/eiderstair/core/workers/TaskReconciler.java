package org.eiderstair.core.workers;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Set;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.Machine;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;
import org.eiderstair.core.state.Replica;
import org.eiderstair.core.state.StateWriter;

/**
 * Reconciles the tasks in a heartbeat with the known attempts on the machine. An attempt is freed
 * only if the heartbeat reports its end, or omits it after its launch is settled.
 */
final class TaskReconciler {
  private final TermContext context;
  private final Replica replica;
  private final StateWriter stateWriter;
  private final AttemptTracker tracker;
  private final FailureAccounting failures;

  TaskReconciler(
      TermContext context,
      Replica replica,
      StateWriter stateWriter,
      AttemptTracker tracker,
      FailureAccounting failures) {
    this.context = context;
    this.replica = replica;
    this.stateWriter = stateWriter;
    this.tracker = tracker;
    this.failures = failures;
  }

  /**
   * Reconciles the tasks in a heartbeat with the attempts on its machine.
   *
   * @param settlesAnswers whether the heartbeat shows the outcome of launches in answers to earlier
   *     heartbeats
   * @param settlesCommands whether the heartbeat shows the outcome of launches sent by command
   */
  void reconcile(
      Machine machine, Heartbeat heartbeat, boolean settlesAnswers, boolean settlesCommands) {
    machine.clearReportedTasks();
    Set<TaskId> reported = new HashSet<>();
    for (Heartbeat.Entry entry : heartbeat.tasks()) {
      reported.add(entry.task());
      if (entry.state() == Heartbeat.TaskState.ENDED) {
        reconcileEnded(machine, entry);
      } else {
        reconcileRunning(machine, entry);
      }
    }
    for (Attempt attempt : new ArrayList<>(machine.attempts())) {
      boolean settled = isSettled(attempt, heartbeat.sequence(), settlesAnswers, settlesCommands);
      if (settled && !reported.contains(attempt.task())) {
        tracker.free(attempt, "absent from a heartbeat");
      }
    }
    if (!machine.attempts().isEmpty()) {
      machine.markInUse(context.nowMicros());
    }
    machine.recomputeFreeResources();
    tracker.freeResourcesChanged(machine);
  }

  private static boolean isSettled(
      Attempt attempt, long sequence, boolean settlesAnswers, boolean settlesCommands) {
    return switch (attempt.phase()) {
      case QUEUED, PLANNED -> false;
      case SENT ->
          attempt.sentSequence() == Attempt.SENT_BY_COMMAND
              ? settlesCommands
              : settlesAnswers && sequence > attempt.sentSequence();
      case REPORTED -> true;
    };
  }

  /**
   * Reconciles a task that has not ended: confirms its attempt, adopts the task, or records it as
   * untracked so that the worker is told to kill it.
   */
  private void reconcileRunning(Machine machine, Heartbeat.Entry entry) {
    Attempt known = machine.attempt(entry.task());
    if (known != null && known.number() == entry.attempt()) {
      confirm(machine, known, entry.state());
      return;
    }
    Job job = replica.job(entry.task().job());
    if (known == null && isUnplacedTask(job, entry.task().index())) {
      context.debug("task=" + entry.task() + " found on machine=" + machine.id());
      adopt(machine, job, entry);
      writeFirstProgress(job);
    } else if (known == null && job != null && !job.isOpen() && job.spec() != null) {
      // A task of an ended job uses resources until a heartbeat shows that it is gone.
      adopt(machine, job, entry);
    } else {
      machine.addUntrackedTask(new Order.Kill(entry.task(), entry.attempt(), 0));
    }
  }

  private static boolean isUnplacedTask(Job job, int index) {
    return job != null
        && job.isOpen()
        && index < job.tasks()
        && !job.isCompleted(index)
        && !job.isAttempted(index);
  }

  private void confirm(Machine machine, Attempt attempt, Heartbeat.TaskState state) {
    attempt.markReported();
    if (attempt.reportedState() == state) {
      return;
    }
    attempt.recordState(state, context.nowMicros());
    machine.useImage(attempt.spec());
    if (state == Heartbeat.TaskState.RUNNING) {
      writeFirstProgress(attempt.job());
    }
  }

  private void adopt(Machine machine, Job job, Heartbeat.Entry entry) {
    Attempt attempt =
        new Attempt(job, entry.task().index(), entry.attempt(), machine, Attempt.Phase.REPORTED);
    attempt.recordFound(entry.state(), context.nowMicros());
    machine.useImage(job.spec());
    tracker.attach(attempt);
    tracker.replicate(attempt, true);
  }

  private void writeFirstProgress(Job job) {
    if (job.isOpen() && job.durablyRunningCount() == 0) {
      stateWriter.writeProgress(job);
    }
  }

  /** Reconciles an ended task: removes its attempt and records its outcome. */
  private void reconcileEnded(Machine machine, Heartbeat.Entry entry) {
    TaskId task = entry.task();
    Order.Acknowledge acknowledge = new Order.Acknowledge(task, entry.attempt());
    Attempt known = machine.attempt(task);
    boolean isKnown = known != null && known.number() == entry.attempt();
    if (isKnown) {
      logEnd(machine, entry);
      tracker.remove(known);
    }
    Job job = replica.job(task.job());
    boolean jobOpen = job != null && job.isOpen();
    if (entry.exit() == Heartbeat.Exit.DONE && jobOpen && task.index() < job.tasks()) {
      if (job.markCompleted(task.index())) {
        recordCompletion(machine, job);
      }
      // Acknowledged only after the completion is durable: until then the machine's own record is
      // the only proof.
      if (job.isDurablyCompleted(task.index())) {
        machine.acknowledge(acknowledge);
      }
      return;
    }
    machine.acknowledge(acknowledge);
    if (isKnown && jobOpen) {
      failures.recordExit(machine, job, task, entry.exit());
    }
  }

  private void logEnd(Machine machine, Heartbeat.Entry entry) {
    if (context.sink().isDebugEnabled()) {
      context.debug(
          "task="
              + entry.task()
              + " attempt="
              + entry.attempt()
              + " ended on machine="
              + machine.id()
              + " incarnation="
              + machine.incarnation()
              + " sequence="
              + machine.sequence()
              + " exit="
              + entry.exit());
    }
  }

  private void recordCompletion(Machine machine, Job job) {
    machine.failures().reset();
    if (job.allTasksCompleted()) {
      stateWriter.writeFinished(job);
    } else {
      stateWriter.writeProgress(job);
    }
  }
}
