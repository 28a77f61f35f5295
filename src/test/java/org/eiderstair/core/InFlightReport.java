package org.eiderstair.core;

/** The report that the worker waits to be answered, or a late copy that nobody waits for. */
final class InFlightReport {
  final MachineReport content;
  final int leader;
  final long sentMicros;
  final boolean copy;
  long exchange;
  Answer answer;

  InFlightReport(MachineReport content, int leader, long sentMicros, boolean copy) {
    this.content = content;
    this.leader = leader;
    this.sentMicros = sentMicros;
    this.copy = copy;
  }
}
