package org.eiderstair.core.workers;

import java.util.List;
import org.eiderstair.core.leadership.FailoverTimeline;
import org.eiderstair.core.model.Attempt;
import org.eiderstair.core.model.Machine;

/**
 * Sends launches only after the standby has acknowledged them, so that the next leader knows every
 * task that may be on a machine.
 */
final class LaunchReplication {
  private final TermContext context;
  private final AttemptTracker tracker;
  private final CommandQueue commandQueue;
  private FailoverTimeline failoverTimeline;

  LaunchReplication(TermContext context, AttemptTracker tracker, CommandQueue commandQueue) {
    this.context = context;
    this.tracker = tracker;
    this.commandQueue = commandQueue;
  }

  /** Sets the timeline that records the time of the first launch. */
  void setFailoverTimeline(FailoverTimeline timeline) {
    failoverTimeline = timeline;
  }

  /**
   * Removes the planned launches of a machine that can be sent, marks them as sent and replicates
   * them.
   *
   * @param sequence the sequence of the heartbeat whose answer carries the launches, or {@link
   *     Attempt#SENT_BY_COMMAND}
   * @param acknowledges whether the message carries the machine's acknowledgements
   * @return the launches; empty if none can be sent
   */
  List<Attempt> takePlannedLaunches(Machine machine, long sequence, boolean acknowledges) {
    List<Attempt> launches = machine.takeLaunches(acknowledges);
    for (Attempt attempt : launches) {
      attempt.markSent(sequence);
      tracker.replicate(attempt, true);
    }
    return launches;
  }

  /**
   * Sends launches once the standby has acknowledged them, or plans them again if they may not be
   * sent.
   *
   * @param send sends the launches
   * @param onWithheld runs after the launches were planned again
   */
  void send(List<Attempt> launches, Runnable send, Runnable onWithheld) {
    context.standby().launch(() -> sendNow(send), () -> withhold(launches, onWithheld));
  }

  private void sendNow(Runnable send) {
    if (failoverTimeline != null) {
      failoverTimeline.taskLaunched(context.nowMicros());
    }
    send.run();
  }

  private void withhold(List<Attempt> launches, Runnable onWithheld) {
    planAgain(launches);
    onWithheld.run();
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
