package org.eiderstair.sim;

import java.util.function.Consumer;
import org.eiderstair.core.model.JobSpec;

/** A simulated day: jobs are submitted and random outages start in its first minutes. */
final class SimulatedDay {
  static final long SECOND_MICROS = 1_000_000;

  /** Jobs submitted until then count for the completed share. */
  static final long COUNTED_UNTIL_MICROS = 200 * SECOND_MICROS;

  private static final long SHARE_RECORDED_AT_MICROS = 320 * SECOND_MICROS;
  private static final long END_MICROS = 600 * SECOND_MICROS;

  private SimulatedDay() {}

  /** Returns a day with its jobs and without faults; its clock is still at 0. */
  static SimulatedCluster prepare(long seed, ClusterSize size) {
    SimulatedCluster cluster = new SimulatedCluster(seed, size);
    for (int i = 0; i < size.jobs(); i++) {
      int number = i;
      cluster.clock.after(
          (3 + cluster.random.nextInt(200)) * SECOND_MICROS,
          () -> submitRandomJob(cluster, number));
    }
    return cluster;
  }

  private static void submitRandomJob(SimulatedCluster cluster, int number) {
    JobSpec spec = SampleJobs.randomJob(cluster, number);
    cluster.users.submit(spec);
    if (spec.shape() == JobSpec.Shape.SERVICE
        || cluster.users.alwaysFails(spec.id())
        || cluster.random.nextInt(6) == 0) {
      cluster.clock.after(
          (5 + cluster.random.nextInt(60)) * SECOND_MICROS, () -> cluster.users.cancel(spec.id()));
    }
    cluster.users.pollUnknown("job-9" + number);
  }

  /** Runs a day with random outages at the small size to its end. */
  static SimulatedCluster playSmall(long seed) {
    return play(seed, ClusterSize.SMALL, cluster -> {});
  }

  /** Runs a day with random outages to its end. */
  static SimulatedCluster play(long seed, ClusterSize size) {
    return play(seed, size, cluster -> {});
  }

  /**
   * Runs a day with random outages and injected defects to its end.
   *
   * @param injectDefects called before the day starts, to inject the defects
   */
  static SimulatedCluster play(
      long seed, ClusterSize size, Consumer<SimulatedCluster> injectDefects) {
    SimulatedCluster cluster = prepare(seed, size);
    injectDefects.accept(cluster);
    int outages = 4 + cluster.random.nextInt(8);
    for (int i = 0; i < outages; i++) {
      cluster.clock.after(
          (15 + cluster.random.nextInt(230)) * SECOND_MICROS, () -> RandomOutage.start(cluster));
    }
    // Half of the work submitted two minutes ago must be completed, even during an outage.
    cluster.clock.runUntil(SHARE_RECORDED_AT_MICROS);
    cluster.recordCompletedShare(COUNTED_UNTIL_MICROS);
    cluster.clock.runUntil(END_MICROS);
    return cluster;
  }
}
