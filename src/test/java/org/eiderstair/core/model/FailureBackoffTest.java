package org.eiderstair.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

class FailureBackoffTest {
  private static final long SECOND = 1_000_000;
  private final FailureBackoff backoff = new FailureBackoff();

  @Example
  void aFirstFailureDelaysNothing() {
    backoff.recordFailure("m-1", SECOND);
    assertTrue(backoff.mayRetry(SECOND));
    assertTrue(backoff.hasFailedOn("m-1"));
    assertFalse(backoff.hasFailedOn("m-2"));
    assertEquals(1, backoff.failedMachines());
  }

  @Example
  void theDelayDoublesUpToAMinute() {
    long now = 0;
    backoff.recordFailure("m-1", now);
    for (long delay : new long[] {2, 4, 8, 16, 32, 60, 60}) {
      backoff.recordFailure("m-1", now);
      assertFalse(backoff.mayRetry(now + delay * SECOND - 1));
      now += delay * SECOND;
      assertTrue(backoff.mayRetry(now));
    }
  }

  @Example
  void failuresDuringADelayDoNotProlongIt() {
    backoff.recordFailure("m-1", 0);
    backoff.recordFailure("m-2", 0);
    backoff.recordFailure("m-3", SECOND);
    assertTrue(backoff.mayRetry(2 * SECOND));
    assertEquals(3, backoff.failedMachines());
  }

  @Example
  void aSuccessEndsTheCountButNotTheDelay() {
    backoff.recordFailure("m-1", 0);
    backoff.recordFailure("m-2", 0);
    backoff.recordSuccess();
    assertEquals(0, backoff.failedMachines());
    assertFalse(backoff.mayRetry(2 * SECOND - 1));
    backoff.recordFailure("m-3", 2 * SECOND);
    assertTrue(backoff.mayRetry(2 * SECOND), "the first failure since");
    backoff.recordFailure("m-4", 2 * SECOND);
    assertTrue(backoff.mayRetry(4 * SECOND), "the delay begins anew at two seconds");
  }
}
