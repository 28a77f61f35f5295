package org.eiderstair.core.standby;

import java.util.ArrayDeque;

/** Queues launches until the standby has acknowledged all changes made before them. */
final class HeldLaunches {
  /**
   * @param sequence the number of the change that must be acknowledged before the launch is sent
   * @param withhold runs instead of {@code launch} when the launch may not be sent
   */
  private record HeldLaunch(long sequence, Runnable launch, Runnable withhold) {}

  private final ArrayDeque<HeldLaunch> launches = new ArrayDeque<>();

  void hold(long sequence, Runnable launch, Runnable withhold) {
    launches.add(new HeldLaunch(sequence, launch, withhold));
  }

  /** Sends the launches whose changes have all been acknowledged. */
  void release(long acknowledgedSequence) {
    while (!launches.isEmpty() && launches.peek().sequence() <= acknowledgedSequence) {
      launches.poll().launch().run();
    }
  }

  void withholdAll() {
    while (!launches.isEmpty()) {
      launches.poll().withhold().run();
    }
  }
}
