package org.eiderstair.core.model;

import java.util.List;

/** What a user asked for. Immutable; validated before it reaches the core. */
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
    long checkpointEveryMicros,
    long saveMicros,
    long deadlineMicros) {

  /** Whether tasks run to completion or until the job is cancelled. */
  public enum Shape {
    ARRAY,
    SERVICE
  }

  /** Highest first: the natural order is the order of service. */
  public enum Priority {
    PRODUCTION,
    HIGH,
    NORMAL,
    LOW
  }

  /** No deadline was given. */
  public static final long NO_DEADLINE = -1;

  /**
   * Whether a machine of this kind may run the job's tasks, its zone rules for sibling tasks apart.
   */
  public boolean allows(String type, String machineZone, boolean spot) {
    return (machineTypes == null || machineTypes.contains(type))
        && (zone == null || zone.equals(machineZone))
        && (spotAllowed || !spot);
  }

  /** With {@code spread}, the most tasks that one zone may hold: half, rounded up. */
  public int maxPerZone() {
    return spread ? (tasks + 1) / 2 : tasks;
  }
}
