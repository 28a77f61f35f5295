package org.eiderstair.core.model;

import java.util.List;

/**
 * The specification of a job as submitted by its user. Instances are immutable.
 *
 * @param id the id that the user gave the job
 * @param jobClass the class of the job, to which service-level objectives refer
 * @param team the team whose quota the job uses
 * @param shape whether the tasks run to completion
 * @param priority the priority that the user requested
 * @param tasks the number of tasks
 * @param cpus the processors of each task
 * @param accelerators the accelerators of each task
 * @param memoryGb the memory of each task
 * @param image the image that the tasks run
 * @param imageGb the size of the image
 * @param machineTypes the machine types allowed for the tasks; null allows all
 * @param zone the only zone allowed for the tasks; null allows all
 * @param oneZone whether all tasks must be in the same zone
 * @param spread whether the tasks must be spread over zones
 * @param spotAllowed whether the tasks may run on spot machines
 * @param estimateMicros the expected duration of a task
 * @param checkpointIntervalMicros the time between two checkpoints; 0 if tasks save none
 * @param checkpointDurationMicros the time that a task takes to save a checkpoint
 * @param deadlineMicros the deadline relative to the submission, or {@link #NO_DEADLINE}
 */
public record JobSpec(
    String id,
    String jobClass,
    String team,
    Shape shape,
    Priority priority,
    int tasks,
    double cpus,
    double accelerators,
    double memoryGb,
    String image,
    double imageGb,
    List<String> machineTypes,
    String zone,
    boolean oneZone,
    boolean spread,
    boolean spotAllowed,
    long estimateMicros,
    long checkpointIntervalMicros,
    long checkpointDurationMicros,
    long deadlineMicros) {

  /** The kind of job. */
  public enum Shape {
    /** Each task runs to completion. */
    ARRAY,
    /** The tasks run until the job is cancelled. */
    SERVICE
  }

  /** The priority of a job. The constants are declared from the highest to the lowest. */
  public enum Priority {
    /** The highest priority. */
    PRODUCTION,
    /** The priority between {@link #PRODUCTION} and {@link #NORMAL}. */
    HIGH,
    /** The ordinary priority. */
    NORMAL,
    /** The lowest priority. */
    LOW
  }

  /** The job has no deadline. */
  public static final long NO_DEADLINE = -1;

  /**
   * Returns whether the job's constraints allow a machine of this kind. The rules {@code oneZone}
   * and {@code spread}, which depend on other tasks of the job, are not checked.
   */
  public boolean allows(String type, String machineZone, boolean spot) {
    return (machineTypes == null || machineTypes.contains(type))
        && (zone == null || zone.equals(machineZone))
        && (spotAllowed || !spot);
  }

  /** Returns the maximum number of tasks in one zone: half, rounded up, with {@code spread}. */
  public int maxPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
