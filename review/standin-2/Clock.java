/** Seconds of the steady clock since the program began. */
final class Clock {
  private static final long START = System.nanoTime();

  private Clock() {}

  static double now() {
    return (System.nanoTime() - START) / 1e9;
  }

  static void sleep(double seconds) {
    if (seconds > 0) {
      try {
        Thread.sleep((long) (seconds * 1000), 0);
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }
  }

  static void sleepUntil(double time) {
    sleep(time - now());
  }
}
