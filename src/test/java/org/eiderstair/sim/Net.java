package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;

/** A network whose cuts hold packets and deliver them, possibly much later, when they heal. */
final class Net {
  private final Clock clock;
  private final Random random;
  private final Map<String, List<Runnable>> cuts = new HashMap<>();

  Net(Clock clock, Random random) {
    this.clock = clock;
    this.random = random;
  }

  private static String pair(String a, String b) {
    return a.compareTo(b) < 0 ? a + "|" + b : b + "|" + a;
  }

  void cut(String a, String b, long forMicros) {
    if (cuts.putIfAbsent(pair(a, b), new ArrayList<>()) == null) {
      clock.after(forMicros, () -> cuts.remove(pair(a, b)).forEach(r -> clock.after(delay(), r)));
    }
  }

  /** Packets already on their way still arrive; a few take long, as when lost and sent again. */
  void send(String from, String to, Runnable deliver) {
    List<Runnable> held = cuts.get(pair(from, to));
    if (held != null) {
      held.add(deliver);
    } else {
      clock.after(delay(), deliver);
    }
  }

  private long delay() {
    return random.nextInt(300) == 0 ? 300_000 + random.nextInt(2_000_000) : 500 + random.nextInt(6_000);
  }
}
