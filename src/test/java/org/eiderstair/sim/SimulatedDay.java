package org.eiderstair.sim;

import java.util.function.Consumer;
import org.eiderstair.core.model.JobSpec;

/** A deployment's day: jobs come in its first minutes, and drawn outages meet them. */
final class SimulatedDay {
  static final long SECOND_MICROS = 1_000_000;

  /** Work that came until then is looked at for its completed share. */
  static final long COUNTED_UNTIL_MICROS = 200 * SECOND_MICROS;

  private static final long SHARE_RECORDED_AT_MICROS = 320 * SECOND_MICROS;
  private static final long END_MICROS = 600 * SECOND_MICROS;

  private SimulatedDay() {}

  /** A day with its users, on which nothing fails by itself; it has not begun yet. */
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

  static SimulatedCluster playSmall(long seed) {
    return play(seed, ClusterSize.SMALL, cluster -> {});
  }

  static SimulatedCluster play(long seed, ClusterSize size) {
    return play(seed, size, cluster -> {});
  }

  /**
   * Plays a day with drawn outages to its end.
   *
   * @param injectDefects what the test makes wrong before the day begins
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
    // Outages may still be going on: what came two minutes ago must be half done all the same.
    cluster.clock.runUntil(SHARE_RECORDED_AT_MICROS);
    cluster.recordCompletedShare(COUNTED_UNTIL_MICROS);
    cluster.clock.runUntil(END_MICROS);
    return cluster;
  }
}
