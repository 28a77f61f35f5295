package org.eiderstair.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import net.jqwik.api.Example;
import org.eiderstair.core.model.Job;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.JobSpecBuilder;

/** Tests which jobs are boosted, when, and how many at a time. */
class StarvationGuardTest {
  private static final long SECOND = 1_000_000;
  private final List<String> logs = new ArrayList<>();
  private final StarvationGuard starvationGuard = new StarvationGuard(logs::add);
  private final List<Job> open = new ArrayList<>();
  private int jobCount;

  private Job job(String jobClass, int tasks, long submittedMicros) {
    JobSpec spec =
        JobSpecBuilder.job("job-" + ++jobCount)
            .jobClass(jobClass)
            .priority(JobSpec.Priority.LOW)
            .tasks(tasks)
            .estimateMicros(SECOND)
            .build();
    Job job = new Job(spec.id(), submittedMicros);
    job.transitionTo(Job.State.OPEN, jobCount, tasks, spec, 0);
    open.add(job);
    return job;
  }

  private void start(Job job) {
    job.markStarted();
    starvationGuard.recordStarted(job);
  }

  private static void complete(Job job) {
    for (int index = 0; index < job.tasks(); index++) {
      job.markCompleted(index);
    }
  }

  private long boosted() {
    return open.stream().filter(starvationGuard::isBoosted).count();
  }

  @Example
  void noClassStarvesWhenNoJobHasStarted() {
    for (int i = 0; i < 5; i++) {
      job("urgent", 1, 0);
      job("low", 1, 0);
    }
    starvationGuard.update(open, () -> 100, 120 * SECOND);
    assertEquals(0, boosted());
    assertEquals(List.of(), logs);
  }

  @Example
  void starvingClassIsBoostedWithinABoundUntilItIsServed() {
    for (int i = 0; i < 10; i++) {
      start(job("urgent", 1, 0));
    }
    List<Job> low = new ArrayList<>();
    for (int i = 0; i < 10; i++) {
      low.add(job("low", 4, 0));
    }
    starvationGuard.update(open, () -> 20, 80 * SECOND);
    assertEquals(0, boosted(), "the wait may be due to a burst or a boot");
    starvationGuard.update(open, () -> 20, 100 * SECOND);
    assertTrue(logs.contains("class=low is starving"));
    assertEquals(3, boosted(), "three jobs of four tasks each reach half of 20 processors");
    low.subList(0, 3).forEach(this::start);
    starvationGuard.update(open, () -> 20, 102 * SECOND);
    assertEquals(3, boosted(), "boosted jobs stay boosted until they are completed");
    low.subList(0, 3).forEach(StarvationGuardTest::complete);
    starvationGuard.update(open, () -> 20, 104 * SECOND);
    assertEquals(3, boosted(), "the next three jobs are boosted");
    low.subList(3, 7).forEach(this::start);
    low.subList(3, 7).forEach(StarvationGuardTest::complete);
    starvationGuard.update(open, () -> 20, 106 * SECOND);
    assertTrue(logs.contains("class=low is no longer starving"));
    assertEquals(0, boosted());
  }

  @Example
  void jobsThatCanStartInTimeAreBoostedBeforeOverdueJobs() {
    Job old = job("low", 1, 0);
    Job younger = job("low", 1, 70 * SECOND);
    start(job("low", 1, 0));
    start(job("low", 1, 0));
    start(job("low", 1, 0));
    start(job("urgent", 1, 0));
    starvationGuard.update(open, () -> 2, 140 * SECOND);
    assertEquals(0, boosted());
    starvationGuard.update(open, () -> 2, 155 * SECOND);
    assertTrue(starvationGuard.isBoosted(old), "its class is served, but its start is overdue");
    for (int i = 0; i < 9; i++) {
      start(job("urgent", 1, 0));
      job("low", 1, 0);
    }
    complete(old);
    starvationGuard.update(open, () -> 2, 165 * SECOND);
    assertTrue(starvationGuard.isBoosted(younger));
    assertFalse(starvationGuard.isBoosted(old));
  }
}
