package org.eiderstair.core.standby;

import java.util.ArrayDeque;

/** Launches that wait until the standby has acknowledged all changes made before them. */
final class HeldLaunches {
  /**
   * @param sequence must have been acknowledged before the launch
   * @param withhold runs instead when the launch may not leave
   */
  private record HeldLaunch(long sequence, Runnable launch, Runnable withhold) {}

  private final ArrayDeque<HeldLaunch> launches = new ArrayDeque<>();

  void hold(long sequence, Runnable launch, Runnable withhold) {
    launches.add(new HeldLaunch(sequence, launch, withhold));
  }

  /** Lets those go whose changes have been acknowledged. */
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
