package org.eiderstair.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.EffectSink;

/** Tests the log line that summarizes a failover. */
class FailoverTimelineTest {
  private static final long ELECTED_MICROS = 5_000_000;
  private final List<String> lines = new ArrayList<>();
  private final FailoverTimeline timeline =
      new FailoverTimeline(
          new EffectSink(effect -> lines.add(((Effect.Log) effect).text())), 7, ELECTED_MICROS);

  @Example
  void theSummaryIsLoggedOnceWhenAllMachinesAreConfirmed() {
    timeline.replicaCaughtUp(40, true, ELECTED_MICROS + 10_000);
    timeline.taskLaunched(ELECTED_MICROS + 12_000);
    timeline.taskLaunched(ELECTED_MICROS + 900_000);
    timeline.unconfirmedMachinesChanged(21, ELECTED_MICROS + 100_000);
    timeline.unconfirmedMachinesChanged(20, ELECTED_MICROS + 200_000);
    timeline.unconfirmedMachinesChanged(3, ELECTED_MICROS + 300_000);
    timeline.unconfirmedMachinesChanged(2, ELECTED_MICROS + 400_000);
    assertEquals(List.of(), lines);
    timeline.unconfirmedMachinesChanged(0, ELECTED_MICROS + 500_000);
    timeline.unconfirmedMachinesChanged(0, ELECTED_MICROS + 600_000);
    assertEquals(
        List.of(
            "failover COMPLETE, term=7: 40 machines known from the standby's replica;"
                + " ms after the election: synchronized 10, first launch 12, half confirmed 200,"
                + " 95% confirmed 400, all confirmed or terminated 500"),
        lines);
  }

  @Example
  void aFailoverWithoutMachinesIsCompleteImmediately() {
    timeline.replicaCaughtUp(0, false, ELECTED_MICROS + 1_000);
    assertEquals(
        List.of(
            "failover COMPLETE, term=7: 0 machines;"
                + " ms after the election: synchronized 1, first launch not yet, half confirmed 1,"
                + " 95% confirmed 1, all confirmed or terminated 1"),
        lines);
  }
}
