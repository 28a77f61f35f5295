package org.eiderstair.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

/** Tests how long a node waits before it campaigns for the leader key. */
class ElectionBackoffTest {
  private static final long SECOND_MICROS = 1_000_000;
  private static final long BATCH_DELAY_MICROS = 60_000;
  private static final long LOADED_MICROS = SECOND_MICROS;
  private static final long WARM_MICROS = LOADED_MICROS + 60 * SECOND_MICROS;

  /** Always draws the largest number allowed. */
  private final ElectionBackoff backoff =
      new ElectionBackoff(BATCH_DELAY_MICROS, bound -> bound - 1);

  private long delayAfterKeyDeleted(long nowMicros, boolean anotherNodeInSync) {
    backoff.replicaLoaded(LOADED_MICROS);
    backoff.leaderKeyDeleted(nowMicros, anotherNodeInSync);
    long delayMicros = 0;
    while (!backoff.mayCampaign(nowMicros + delayMicros)) {
      delayMicros++;
    }
    return delayMicros;
  }

  @Example
  void aWarmNodeCampaignsImmediately() {
    assertEquals(0, delayAfterKeyDeleted(WARM_MICROS, false));
  }

  @Example
  void aNodeThatWarmsUpYieldsToWarmNodes() {
    assertEquals(
        4 * BATCH_DELAY_MICROS - 1, delayAfterKeyDeleted(LOADED_MICROS + SECOND_MICROS, false));
  }

  @Example
  void aWarmNodeYieldsToTheStandbyInSync() {
    assertEquals(4 * BATCH_DELAY_MICROS - 1, delayAfterKeyDeleted(WARM_MICROS, true));
  }

  @Example
  void aNodeThatWarmsUpYieldsToTheStandbyAndToWarmNodes() {
    assertEquals(
        8 * BATCH_DELAY_MICROS - 1, delayAfterKeyDeleted(LOADED_MICROS + SECOND_MICROS, true));
  }

  @Example
  void aNodeDoesNotYieldBeforeItsReplicaIsLoaded() {
    backoff.leaderKeyDeleted(LOADED_MICROS, true);
    assertTrue(backoff.mayCampaign(LOADED_MICROS));
  }

  @Example
  void theWarmUpPeriodStartsWhenTheReplicaIsFirstLoaded() {
    backoff.replicaLoaded(LOADED_MICROS);
    backoff.replicaLoaded(WARM_MICROS);
    assertEquals(0, delayAfterKeyDeleted(WARM_MICROS, false));
  }

  @Example
  void aNodeThatResignedDelaysItsNextCampaign() {
    backoff.resigned(WARM_MICROS);
    assertFalse(backoff.mayCampaign(WARM_MICROS + 15 * SECOND_MICROS - 1));
    assertTrue(backoff.mayCampaign(WARM_MICROS + 15 * SECOND_MICROS));
  }

  @Example
  void aDeletedLeaderKeyDoesNotShortenTheDelayAfterAResignation() {
    backoff.replicaLoaded(LOADED_MICROS);
    backoff.resigned(WARM_MICROS);
    backoff.leaderKeyDeleted(WARM_MICROS + SECOND_MICROS, true);
    assertFalse(backoff.mayCampaign(WARM_MICROS + 15 * SECOND_MICROS - 1));
  }

  @Example
  void aFailedCampaignIsRetriedAfterTheRetryDelay() {
    backoff.retryLater(WARM_MICROS);
    assertFalse(backoff.mayCampaign(WARM_MICROS + 400_000 - 1));
    assertTrue(backoff.mayCampaign(WARM_MICROS + 400_000));
  }
}
