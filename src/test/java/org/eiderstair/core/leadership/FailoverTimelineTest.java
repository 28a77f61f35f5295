package org.eiderstair.core.leadership;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.message.Effect;
import org.eiderstair.core.message.EffectSink;

/** The line that says how a term began. */
class FailoverTimelineTest {
  private static final long ELECTED = 5_000_000;
  private final List<String> lines = new ArrayList<>();
  private final FailoverTimeline timeline =
      new FailoverTimeline(
          new EffectSink(effect -> lines.add(((Effect.Log) effect).text())), 7, ELECTED);

  @Example
  void itIsLoggedOnceWhenAllMachinesAreConfirmed() {
    timeline.replicaCaughtUp(40, true, ELECTED + 10_000);
    timeline.taskLaunched(ELECTED + 12_000);
    timeline.taskLaunched(ELECTED + 900_000);
    timeline.unconfirmedMachines(21, ELECTED + 100_000);
    timeline.unconfirmedMachines(20, ELECTED + 200_000);
    timeline.unconfirmedMachines(3, ELECTED + 300_000);
    timeline.unconfirmedMachines(2, ELECTED + 400_000);
    assertEquals(List.of(), lines);
    timeline.unconfirmedMachines(0, ELECTED + 500_000);
    timeline.unconfirmedMachines(0, ELECTED + 600_000);
    assertEquals(
        List.of(
            "failover COMPLETE, term=7: 40 machines known from the standby's replica;"
                + " ms after the election: synchronized 10, first launch 12, half confirmed 200,"
                + " 95% confirmed 400, all confirmed or terminated 500"),
        lines);
  }

  @Example
  void aTermWithoutMachinesIsCompleteAtOnce() {
    timeline.replicaCaughtUp(0, false, ELECTED + 1_000);
    assertEquals(
        List.of(
            "failover COMPLETE, term=7: 0 machines;"
                + " ms after the election: synchronized 1, first launch not yet, half confirmed 1,"
                + " 95% confirmed 1, all confirmed or terminated 1"),
        lines);
  }
}
