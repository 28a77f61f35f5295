package org.eiderstair.compatibility;

import java.util.List;
import org.eiderstair.core.model.JobSpec;

/** Job specifications that together cover every form of every field. */
final class SampleSpecs {
  private SampleSpecs() {}

  /** Returns an array job without optional fields. */
  static JobSpec plain(String id) {
    return new JobSpec(
        id,
        "batch",
        "red",
        JobSpec.Shape.ARRAY,
        JobSpec.Priority.NORMAL,
        3,
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
        20_000_000,
        0,
        0,
        JobSpec.NO_DEADLINE);
  }

  /** Returns a service that sets every optional field. */
  static JobSpec full(String id) {
    return new JobSpec(
        id,
        "train-ü",
        "blue",
        JobSpec.Shape.SERVICE,
        JobSpec.Priority.PRODUCTION,
        100_000,
        0.25,
        1.5,
        63.75,
        "registry/img:7",
        6.2,
        List.of("g8", "c4"),
        "a",
        true,
        true,
        false,
        240_000_000,
        30_000_000,
        4_000_000,
        900_000_000_000L);
  }

  /** Returns an array job with empty, null and extreme values. */
  static JobSpec extreme(String id, JobSpec.Priority priority, List<String> types, String zone) {
    return new JobSpec(
        id,
        "",
        "red",
        JobSpec.Shape.ARRAY,
        priority,
        1,
        1e-3,
        0,
        1e9,
        null,
        0,
        types,
        zone,
        false,
        true,
        false,
        0,
        1,
        0,
        0);
  }
}
