package org.eiderstair.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import org.eiderstair.core.message.Event;

/** When a node counts as overloaded. */
class OverloadDetectorTest {
  private static final long SECOND = 1_000_000;

  private final OverloadDetector detector = new OverloadDetector();

  @Example
  void eventsThatWaitForAMomentAreNoOverload() {
    assertNull(detector.check(3_000, SECOND));
    assertNull(detector.check(3_000, SECOND + SECOND / 2));
    assertNull(detector.check(10, 2 * SECOND));
    assertNull(detector.check(3_000, 2 * SECOND + 1));
    assertFalse(detector.isBehind());
  }

  @Example
  void eventsThatGoOnWaitingAreReportedTwiceASecond() {
    detector.check(3_000, SECOND);
    assertEquals(new Event.Overloaded(0, 3_000), detector.check(3_000, 2 * SECOND));
    assertTrue(detector.isBehind());
    assertNull(detector.check(3_000, 2 * SECOND + 1));
    assertEquals(new Event.Overloaded(0, 2_000), detector.check(2_000, 3 * SECOND));
    assertNull(detector.check(0, 4 * SECOND));
    assertFalse(detector.isBehind());
  }

  @Example
  void refusedConnectionsAreOverload() {
    int[] refused = {7};
    detector.refusedConnections(() -> refused[0]);
    assertEquals(new Event.Overloaded(7, 0), detector.check(0, SECOND));
    refused[0] = 0;
    assertNull(detector.check(0, 2 * SECOND));
    assertFalse(detector.isBehind(), "polls are answered: the node is not behind");
  }
}
