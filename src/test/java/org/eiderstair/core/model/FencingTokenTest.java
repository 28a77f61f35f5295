package org.eiderstair.core.model;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.LongRange;

class FencingTokenTest {
  private static FencingToken tokenAfter(long term, int times) {
    FencingToken token = FencingToken.first(term);
    for (int i = 0; i < times; i++) {
      token = token.next();
    }
    return token;
  }

  @Property(tries = 200, seed = "11")
  void nextTokenIsHigherAndKeepsTerm(
      @ForAll @LongRange(min = 0, max = 1L << 40) long term,
      @ForAll @IntRange(max = 1000) int times) {
    FencingToken token = tokenAfter(term, times);
    assertEquals(term, token.term());
    assertTrue(token.next().compareTo(token) > 0);
    assertTrue(token.next().isAtLeast(token));
    assertFalse(token.isAtLeast(token.next()));
    assertTrue(token.isAtLeast(token));
  }

  @Property(tries = 200, seed = "12")
  void firstTokenOfNextTermIsAboveAllTokensOfPreviousTerm(
      @ForAll @LongRange(min = 0, max = 1L << 40) long term,
      @ForAll @IntRange(max = 1000) int times) {
    assertFalse(tokenAfter(term, times).isAtLeast(FencingToken.first(term + 1)));
  }

  @Example
  void valueIsTermAboveTwentyCounterBits() {
    assertEquals((3L << 20) + 1, FencingToken.first(3).value());
    assertEquals("3145730", FencingToken.first(3).next().toString());
  }

  @Example
  void noneIsBelowFirstToken() {
    assertFalse(FencingToken.NONE.isAtLeast(FencingToken.first(0)));
  }

  @Example
  void tooLargeTermIsRejected() {
    assertThrows(ArithmeticException.class, () -> FencingToken.first(1L << 44));
  }

  @Example
  void tokensOfATermNeverReachTheNextTerm() {
    FencingToken last = new FencingToken(FencingToken.first(8).value() - 2);
    assertEquals(7, last.term());
    assertThrows(ArithmeticException.class, last::next);
  }
}
