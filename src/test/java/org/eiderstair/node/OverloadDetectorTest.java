package org.eiderstair.node;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import org.eiderstair.core.message.Event;

/** Tests when a node counts as overloaded, and how often it reports that. */
class OverloadDetectorTest {
  private static final long SECOND_MICROS = 1_000_000;

  private final OverloadDetector detector = new OverloadDetector();

  @Example
  void eventsThatWaitBrieflyAreNoOverload() {
    assertNull(detector.check(3_000, SECOND_MICROS));
    assertNull(detector.check(3_000, SECOND_MICROS + SECOND_MICROS / 2));
    assertNull(detector.check(10, 2 * SECOND_MICROS));
    assertNull(detector.check(3_000, 2 * SECOND_MICROS + 1));
    assertFalse(detector.isBehind());
  }

  @Example
  void eventsThatKeepWaitingAreReportedTwicePerSecond() {
    detector.check(3_000, SECOND_MICROS);
    assertEquals(new Event.Overloaded(0, 3_000), detector.check(3_000, 2 * SECOND_MICROS));
    assertTrue(detector.isBehind());
    assertNull(detector.check(3_000, 2 * SECOND_MICROS + 1));
    assertEquals(new Event.Overloaded(0, 2_000), detector.check(2_000, 3 * SECOND_MICROS));
    assertNull(detector.check(0, 4 * SECOND_MICROS));
    assertFalse(detector.isBehind());
  }

  @Example
  void refusedConnectionsAreOverload() {
    int[] refused = {7};
    detector.setRefusedConnectionCounter(() -> refused[0]);
    assertEquals(new Event.Overloaded(7, 0), detector.check(0, SECOND_MICROS));
    refused[0] = 0;
    assertNull(detector.check(0, 2 * SECOND_MICROS));
    assertFalse(detector.isBehind(), "polls are answered: the node is not behind");
  }
}
