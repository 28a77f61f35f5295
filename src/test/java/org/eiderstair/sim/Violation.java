package org.eiderstair.sim;

/** A rule that did not hold, when and for what. */
record Violation(Rule rule, long atMicros, String detail) {
  @Override
  public String toString() {
    return atMicros / 1000 + " ms: " + rule + ": " + detail;
  }
}
