package org.eiderstair.sim;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;

import net.jqwik.api.Example;

/**
 * The same seed gives the same effects. {@code mvn -B test -Dtest=EffectDigestTest -Ddigest.days=8}
 * prints the digests of that many days, for comparison before and after a change that only moves or
 * renames code.
 */
class EffectDigestTest {
  private static final int DAYS = Integer.getInteger("digest.days", 0);

  @Example
  void sameSeedGivesTheSameEffects() {
    String digest = SimulatedDay.playSmall(3).effectDigest.toString();
    assertEquals(digest, SimulatedDay.playSmall(3).effectDigest.toString());
    assertNotEquals(digest, SimulatedDay.playSmall(4).effectDigest.toString());
  }

  @Example
  void printDigests() {
    for (long seed = 1; seed <= DAYS; seed++) {
      System.out.println(
          "digest of day " + seed + ": " + SimulatedDay.playSmall(seed).effectDigest);
    }
  }
}
