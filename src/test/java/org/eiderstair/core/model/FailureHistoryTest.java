package org.eiderstair.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

class FailureHistoryTest {
  private final FailureHistory failures = new FailureHistory();

  @Example
  void threeFailuresOfTwoJobsMakeMachineFaulty() {
    failures.record("job-1", true);
    failures.record("job-2", true);
    assertFalse(failures.isFaulty(false));
    failures.record("job-1", true);
    assertTrue(failures.isFaulty(false));
    assertEquals(2, failures.failedJobCount());
  }

  @Example
  void jobThatAlsoFailsElsewhereDoesNotMakeMachineFaulty() {
    for (int i = 0; i < 100; i++) {
      failures.record("job-1", false);
    }
    assertFalse(failures.isFaulty(false));
  }

  @Example
  void sixFailuresOfJobThatFailsOnlyHereMakeMachineFaulty() {
    for (int i = 0; i < 5; i++) {
      failures.record("job-1", true);
    }
    assertFalse(failures.isFaulty(true));
    failures.record("job-1", true);
    assertTrue(failures.isFaulty(true));
  }

  @Example
  void successClearsEarlierFailures() {
    failures.record("job-1", true);
    failures.record("job-2", true);
    failures.reset();
    failures.record("job-1", true);
    assertFalse(failures.isFaulty(false));
    assertEquals(1, failures.failedJobCount());
  }
}
