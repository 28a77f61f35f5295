package org.eiderstair.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;

/** When a node may campaign for the leader key. */
class ElectionBackoffTest {
  private static final long SECOND = 1_000_000;
  private static final long GATHER = 60_000;
  private static final long LOADED = SECOND;
  private static final long WARM = LOADED + 60 * SECOND;

  /** Draws the largest number that may be drawn. */
  private final ElectionBackoff backoff = new ElectionBackoff(GATHER, bound -> bound - 1);

  private long pauseAfterKeyDeleted(long nowMicros, boolean anotherNodeInSync) {
    backoff.replicaLoaded(LOADED);
    backoff.leaderKeyDeleted(nowMicros, anotherNodeInSync);
    long pause = 0;
    while (!backoff.mayCampaign(nowMicros + pause)) {
      pause++;
    }
    return pause;
  }

  @Example
  void aWarmNodeCampaignsAtOnce() {
    assertEquals(0, pauseAfterKeyDeleted(WARM, false));
  }

  @Example
  void aNodeThatWarmsUpYieldsToWarmOnes() {
    assertEquals(4 * GATHER - 1, pauseAfterKeyDeleted(LOADED + SECOND, false));
  }

  @Example
  void aWarmNodeYieldsToTheStandbyInSync() {
    assertEquals(4 * GATHER - 1, pauseAfterKeyDeleted(WARM, true));
  }

  @Example
  void aNodeThatWarmsUpYieldsToTheStandbyAndToWarmOnes() {
    assertEquals(8 * GATHER - 1, pauseAfterKeyDeleted(LOADED + SECOND, true));
  }

  @Example
  void nothingIsYieldedBeforeTheReplicaIsLoaded() {
    backoff.leaderKeyDeleted(LOADED, true);
    assertTrue(backoff.mayCampaign(LOADED));
  }

  @Example
  void warmingUpCountsFromWhenTheReplicaWasFirstLoaded() {
    backoff.replicaLoaded(LOADED);
    backoff.replicaLoaded(WARM);
    assertEquals(0, pauseAfterKeyDeleted(WARM, false));
  }

  @Example
  void aNodeThatResignedLetsOthersGoFirst() {
    backoff.resigned(WARM);
    assertFalse(backoff.mayCampaign(WARM + 15 * SECOND - 1));
    assertTrue(backoff.mayCampaign(WARM + 15 * SECOND));
  }

  @Example
  void aDeletedKeyDoesNotShortenThePauseAfterAResignation() {
    backoff.replicaLoaded(LOADED);
    backoff.resigned(WARM);
    backoff.leaderKeyDeleted(WARM + SECOND, true);
    assertFalse(backoff.mayCampaign(WARM + 15 * SECOND - 1));
  }

  @Example
  void aFailedCampaignIsRetriedSoon() {
    backoff.retryLater(WARM);
    assertFalse(backoff.mayCampaign(WARM + 400_000 - 1));
    assertTrue(backoff.mayCampaign(WARM + 400_000));
  }
}
