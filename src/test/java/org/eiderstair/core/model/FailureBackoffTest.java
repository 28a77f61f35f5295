package org.eiderstair.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

class FailureBackoffTest {
  private static final long SECOND_MICROS = 1_000_000;
  private final FailureBackoff backoff = new FailureBackoff();

  @Example
  void firstFailureCausesNoDelay() {
    backoff.recordFailure("m-1", SECOND_MICROS);
    assertTrue(backoff.mayRetry(SECOND_MICROS));
    assertTrue(backoff.hasFailedOn("m-1"));
    assertFalse(backoff.hasFailedOn("m-2"));
    assertEquals(1, backoff.failedMachineCount());
  }

  @Example
  void delayDoublesUpToOneMinute() {
    long now = 0;
    backoff.recordFailure("m-1", now);
    for (long delay : new long[] {2, 4, 8, 16, 32, 60, 60}) {
      backoff.recordFailure("m-1", now);
      assertFalse(backoff.mayRetry(now + delay * SECOND_MICROS - 1));
      now += delay * SECOND_MICROS;
      assertTrue(backoff.mayRetry(now));
    }
  }

  @Example
  void failuresDuringDelayDoNotProlongDelay() {
    backoff.recordFailure("m-1", 0);
    backoff.recordFailure("m-2", 0);
    backoff.recordFailure("m-3", SECOND_MICROS);
    assertTrue(backoff.mayRetry(2 * SECOND_MICROS));
    assertEquals(3, backoff.failedMachineCount());
  }

  @Example
  void successResetsFailuresButNotCurrentDelay() {
    backoff.recordFailure("m-1", 0);
    backoff.recordFailure("m-2", 0);
    backoff.recordSuccess();
    assertEquals(0, backoff.failedMachineCount());
    assertFalse(backoff.mayRetry(2 * SECOND_MICROS - 1));
    backoff.recordFailure("m-3", 2 * SECOND_MICROS);
    assertTrue(
        backoff.mayRetry(2 * SECOND_MICROS), "first failure since the success causes no delay");
    backoff.recordFailure("m-4", 2 * SECOND_MICROS);
    assertTrue(backoff.mayRetry(4 * SECOND_MICROS), "delay restarts at two seconds");
  }
}
