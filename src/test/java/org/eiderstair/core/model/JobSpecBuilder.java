package org.eiderstair.core.model;

import java.util.List;

/** Builds the jobs of tests: each names what matters to it, the rest is that of a plain job. */
public final class JobSpecBuilder {
  private final String id;
  private String jobClass = "c";
  private String team = "red";
  private JobSpec.Shape shape = JobSpec.Shape.ARRAY;
  private JobSpec.Priority priority = JobSpec.Priority.NORMAL;
  private int tasks = 1;
  private double cpus = 1;
  private double accelerators;
  private double memoryGb = 1;
  private String image = "img";
  private double imageGb = 1;
  private List<String> machineTypes;
  private String zone;
  private boolean oneZone;
  private boolean spread;
  private boolean spotAllowed = true;
  private long estimateMicros = 20_000_000;
  private long checkpointEveryMicros;
  private long saveMicros;
  private long deadlineMicros = JobSpec.NO_DEADLINE;

  private JobSpecBuilder(String id) {
    this.id = id;
  }

  /** An array job of one task that uses one processor for about 20 s, on any machine. */
  public static JobSpecBuilder job(String id) {
    return new JobSpecBuilder(id);
  }

  /** A job that differs from another only in what is set afterwards. */
  public static JobSpecBuilder like(JobSpec spec) {
    return job(spec.id())
        .jobClass(spec.jobClass())
        .team(spec.team())
        .shape(spec.shape())
        .priority(spec.priority())
        .tasks(spec.tasks())
        .cpus(spec.cpus())
        .accelerators(spec.accelerators())
        .memoryGb(spec.memoryGb())
        .image(spec.image(), spec.imageGb())
        .machineTypes(spec.machineTypes())
        .zone(spec.zone())
        .oneZone(spec.oneZone())
        .spread(spec.spread())
        .spotAllowed(spec.spotAllowed())
        .estimateMicros(spec.estimateMicros())
        .checkpoints(spec.checkpointEveryMicros(), spec.saveMicros())
        .deadlineMicros(spec.deadlineMicros());
  }

  /** Sets the job class. */
  public JobSpecBuilder jobClass(String value) {
    jobClass = value;
    return this;
  }

  /** Sets the team that the job counts for. */
  public JobSpecBuilder team(String value) {
    team = value;
    return this;
  }

  /** Sets whether tasks end by themselves. */
  public JobSpecBuilder shape(JobSpec.Shape value) {
    shape = value;
    return this;
  }

  /** Sets the priority. */
  public JobSpecBuilder priority(JobSpec.Priority value) {
    priority = value;
    return this;
  }

  /** Sets the number of tasks. */
  public JobSpecBuilder tasks(int value) {
    tasks = value;
    return this;
  }

  /** Sets the processors of each task. */
  public JobSpecBuilder cpus(double value) {
    cpus = value;
    return this;
  }

  /** Sets the accelerators of each task. */
  public JobSpecBuilder accelerators(double value) {
    accelerators = value;
    return this;
  }

  /** Sets the memory of each task. */
  public JobSpecBuilder memoryGb(double value) {
    memoryGb = value;
    return this;
  }

  /** Sets the image and its size. */
  public JobSpecBuilder image(String value, double gigabytes) {
    image = value;
    imageGb = gigabytes;
    return this;
  }

  /** Sets the machine types that tasks may run on. */
  public JobSpecBuilder machineTypes(List<String> value) {
    machineTypes = value;
    return this;
  }

  /** Sets the only zone that tasks may run in, null for any. */
  public JobSpecBuilder zone(String value) {
    zone = value;
    return this;
  }

  /** Sets whether all tasks must be in the same zone. */
  public JobSpecBuilder oneZone(boolean value) {
    oneZone = value;
    return this;
  }

  /** Sets whether tasks are to be spread over zones. */
  public JobSpecBuilder spread(boolean value) {
    spread = value;
    return this;
  }

  /** Sets whether tasks may run on spot machines. */
  public JobSpecBuilder spotAllowed(boolean value) {
    spotAllowed = value;
    return this;
  }

  /** Sets how long a task is expected to run. */
  public JobSpecBuilder estimateMicros(long value) {
    estimateMicros = value;
    return this;
  }

  /** Sets how often a task saves its progress, and how long that takes. */
  public JobSpecBuilder checkpoints(long everyMicros, long takesMicros) {
    checkpointEveryMicros = everyMicros;
    saveMicros = takesMicros;
    return this;
  }

  /** Sets the deadline, counted from the submission. */
  public JobSpecBuilder deadlineMicros(long value) {
    deadlineMicros = value;
    return this;
  }

  /** The job as it was described. */
  public JobSpec build() {
    return new JobSpec(
        id,
        jobClass,
        team,
        shape,
        priority,
        tasks,
        cpus,
        accelerators,
        memoryGb,
        image,
        imageGb,
        machineTypes,
        zone,
        oneZone,
        spread,
        spotAllowed,
        estimateMicros,
        checkpointEveryMicros,
        saveMicros,
        deadlineMicros);
  }
}
