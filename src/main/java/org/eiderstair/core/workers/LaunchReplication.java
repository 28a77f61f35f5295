package org.eiderstair.core.workers;

import java.util.List;
import org.eiderstair.core.leadership.FailoverTimeline;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Machine;

/**
 * Lets launches leave only when the standby knows of them, so that a successor counts every task
 * that may be on a machine.
 */
final class LaunchReplication {
  private final TermContext context;
  private final AttemptTracker tracker;
  private final CommandQueue commandQueue;
  private FailoverTimeline failover;

  LaunchReplication(TermContext context, AttemptTracker tracker, CommandQueue commandQueue) {
    this.context = context;
    this.tracker = tracker;
    this.commandQueue = commandQueue;
  }

  /** Records in the failover's timeline when the first launch leaves. */
  void recordIn(FailoverTimeline timeline) {
    failover = timeline;
  }

  /**
   * Takes the planned launches of a machine and tells the standby of them.
   *
   * @param sequence the sequence of the heartbeat whose answer carries them, or {@link
   *     Attempt#SENT_BY_COMMAND}
   */
  List<Attempt> take(Machine machine, long sequence) {
    List<Attempt> launches = machine.takeLaunches();
    for (Attempt attempt : launches) {
      attempt.markSent(sequence);
      tracker.replicate(attempt, true);
    }
    return launches;
  }

  /**
   * Sends launches once the standby has acknowledged them.
   *
   * @param send sends them
   * @param withheld what follows when they may not leave; they are planned as before by then
   */
  void send(List<Attempt> launches, Runnable send, Runnable withheld) {
    context.standby().launch(() -> release(send), () -> withhold(launches, withheld));
  }

  private void release(Runnable send) {
    if (failover != null) {
      failover.taskLaunched(context.nowMicros());
    }
    send.run();
  }

  private void withhold(List<Attempt> launches, Runnable withheld) {
    planAgain(launches);
    withheld.run();
  }

  private void planAgain(List<Attempt> launches) {
    for (Attempt attempt : launches) {
      if (WorkerOrders.isStillSent(attempt)) {
        attempt.markPlanned();
        attempt.machine().planLaunch(attempt);
        commandQueue.scheduleLaunches(attempt.machine());
      }
    }
  }
}
