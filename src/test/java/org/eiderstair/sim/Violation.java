package org.eiderstair.sim;

/** A violation of a rule, with its time and details. */
record Violation(Rule rule, long atMicros, String detail) {
  @Override
  public String toString() {
    return atMicros / 1000 + " ms: " + rule + ": " + detail;
  }
}
