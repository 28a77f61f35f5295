package org.eiderstair.sim;

import java.util.List;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.JobSpecBuilder;

/** The jobs of a normal simulated day. */
final class SampleJobs {
  static final List<String> TEAMS = List.of("red", "blue");

  /** Tasks of jobs with this image always end with an error. */
  static final String FAILING_IMAGE = "mistake";

  private static final String IMAGE = "img";
  private static final double IMAGE_GB = 0.5;
  private static final long SECOND_MICROS = 1_000_000;

  private SampleJobs() {}

  /** Returns a builder of a plain array job; the estimated run time of each task is one second. */
  static JobSpecBuilder job(String id) {
    return JobSpecBuilder.job(id)
        .jobClass("NORMAL")
        .image(IMAGE, IMAGE_GB)
        .estimateMicros(SECOND_MICROS);
  }

  /** Returns a job of random kind, team, priority and size. */
  static JobSpec randomJob(SimulatedCluster cluster, int number) {
    boolean red = cluster.random.nextBoolean();
    int kind = cluster.random.nextInt(12);
    JobSpec.Priority priority = JobSpec.Priority.values()[cluster.random.nextInt(4)];
    boolean service = kind == 0;
    return JobSpecBuilder.job(id(number))
        .jobClass(priority.name())
        .team(red ? "red" : "blue")
        .shape(service ? JobSpec.Shape.SERVICE : JobSpec.Shape.ARRAY)
        .priority(priority)
        .tasks(service ? 2 : 1 + cluster.random.nextInt(cluster.size.tasks()))
        .cpus(1 + cluster.random.nextInt(3))
        .image(kind == 1 ? FAILING_IMAGE : IMAGE, IMAGE_GB)
        .zone(kind == 2 ? "b" : null)
        .oneZone(kind == 3 || kind == 4)
        .spread(kind == 5 || kind == 6)
        .spotAllowed(cluster.random.nextInt(3) > 0)
        .estimateMicros((3 + cluster.random.nextInt(15)) * SECOND_MICROS)
        .build();
  }

  /** Returns the job id for a number. */
  static String id(int number) {
    return String.format("job-%06d", number);
  }
}
