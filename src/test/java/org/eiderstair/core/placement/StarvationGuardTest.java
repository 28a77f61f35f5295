package org.eiderstair.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;

/** Who goes ahead, when, and how much of it. */
class StarvationGuardTest {
  private static final long SECOND = 1_000_000;
  private final List<String> logs = new ArrayList<>();
  private final StarvationGuard leftBehind = new StarvationGuard(logs::add);
  private final List<Job> open = new ArrayList<>();
  private int numbers;

  private Job job(String jobClass, int tasks, long seenMicros) {
    JobSpec spec =
        new JobSpec(
            "job-" + ++numbers,
            jobClass,
            "red",
            JobSpec.Shape.ARRAY,
            JobSpec.Priority.LOW,
            tasks,
            1,
            0,
            1,
            "img",
            1,
            null,
            null,
            false,
            false,
            true,
            SECOND,
            0,
            0,
            JobSpec.NO_DEADLINE);
    Job job = new Job(spec.id());
    job.seenMicros = seenMicros;
    job.become(Job.State.OPEN, numbers, tasks, spec, 0);
    open.add(job);
    return job;
  }

  private void begin(Job job) {
    job.begun = true;
    leftBehind.begun(job);
  }

  private long ahead() {
    return open.stream().filter(leftBehind::goesAhead).count();
  }

  @Example
  void whereNobodyIsServedNobodyIsBehind() {
    for (int i = 0; i < 5; i++) {
      job("urgent", 1, 0);
      job("low", 1, 0);
    }
    leftBehind.measure(open, () -> 100, 120 * SECOND);
    assertEquals(0, ahead());
    assertEquals(List.of(), logs);
  }

  @Example
  void aClassBehindGetsABoundedPartUntilItIsServed() {
    for (int i = 0; i < 10; i++) {
      begin(job("urgent", 1, 0));
    }
    List<Job> low = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      low.add(job("low", 4, 0));
    }
    leftBehind.measure(open, () -> 20, 80 * SECOND);
    assertEquals(0, ahead(), "a burst or a boot");
    leftBehind.measure(open, () -> 20, 100 * SECOND);
    assertTrue(logs.contains("class low is left behind"));
    assertEquals(3, ahead(), "three of four tasks reach half of 20 processors");
    low.subList(0, 3).forEach(this::begin);
    leftBehind.measure(open, () -> 20, 102 * SECOND);
    assertEquals(3, ahead(), "these go ahead until they are done");
    low.get(0).done.set(0, 4);
    low.get(1).done.set(0, 4);
    low.get(2).done.set(0, 4);
    leftBehind.measure(open, () -> 20, 104 * SECOND);
    assertEquals(3, ahead(), "the next");
    low.subList(3, 7).forEach(this::begin);
    low.subList(3, 7).forEach(j -> j.done.set(0, 4));
    leftBehind.measure(open, () -> 20, 106 * SECOND);
    assertTrue(logs.contains("class low is served again"));
    assertEquals(0, ahead());
  }

  @Example
  void whatHasWaitedLongGoesAheadAfterWhatCanStillBeginInTime() {
    Job old = job("low", 1, 0);
    Job younger = job("low", 1, 70 * SECOND);
    begin(job("low", 1, 0));
    begin(job("low", 1, 0));
    begin(job("low", 1, 0));
    begin(job("urgent", 1, 0));
    leftBehind.measure(open, () -> 2, 140 * SECOND);
    assertEquals(0, ahead());
    leftBehind.measure(open, () -> 2, 155 * SECOND);
    assertTrue(leftBehind.goesAhead(old), "its class is served, but it has to begin");
    for (int i = 0; i < 9; i++) {
      begin(job("urgent", 1, 0));
      job("low", 1, 0);
    }
    old.done.set(0);
    leftBehind.measure(open, () -> 2, 165 * SECOND);
    assertTrue(leftBehind.goesAhead(younger));
    assertFalse(leftBehind.goesAhead(old));
  }
}
