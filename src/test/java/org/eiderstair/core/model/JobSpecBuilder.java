package org.eiderstair.core.model;

import java.util.List;

/** Builds job specifications for tests. Values that a test does not set keep simple defaults. */
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
  private long checkpointIntervalMicros;
  private long checkpointDurationMicros;
  private long deadlineMicros = JobSpec.NO_DEADLINE;

  private JobSpecBuilder(String id) {
    this.id = id;
  }

  /** Returns a builder for an array job with one 20 s task on one processor of any machine. */
  public static JobSpecBuilder job(String id) {
    return new JobSpecBuilder(id);
  }

  /** Returns a builder with all values of another job. */
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
        .checkpoints(spec.checkpointIntervalMicros(), spec.checkpointDurationMicros())
        .deadlineMicros(spec.deadlineMicros());
  }

  /** Sets the job class. */
  public JobSpecBuilder jobClass(String value) {
    jobClass = value;
    return this;
  }

  /** Sets the team whose quota the job uses. */
  public JobSpecBuilder team(String value) {
    team = value;
    return this;
  }

  /** Sets the shape. */
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

  /** Sets the allowed machine types; null allows all. */
  public JobSpecBuilder machineTypes(List<String> value) {
    machineTypes = value;
    return this;
  }

  /** Sets the only allowed zone; null allows all. */
  public JobSpecBuilder zone(String value) {
    zone = value;
    return this;
  }

  /** Sets whether all tasks must be in the same zone. */
  public JobSpecBuilder oneZone(boolean value) {
    oneZone = value;
    return this;
  }

  /** Sets whether tasks must be spread over zones. */
  public JobSpecBuilder spread(boolean value) {
    spread = value;
    return this;
  }

  /** Sets whether tasks may run on spot machines. */
  public JobSpecBuilder spotAllowed(boolean value) {
    spotAllowed = value;
    return this;
  }

  /** Sets the expected duration of a task. */
  public JobSpecBuilder estimateMicros(long value) {
    estimateMicros = value;
    return this;
  }

  /** Sets the interval between checkpoints and the time that one checkpoint takes. */
  public JobSpecBuilder checkpoints(long intervalMicros, long durationMicros) {
    checkpointIntervalMicros = intervalMicros;
    checkpointDurationMicros = durationMicros;
    return this;
  }

  /** Sets the deadline, relative to the submission. */
  public JobSpecBuilder deadlineMicros(long value) {
    deadlineMicros = value;
    return this;
  }

  /** Returns the job specification. */
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
        checkpointIntervalMicros,
        checkpointDurationMicros,
        deadlineMicros);
  }
}
