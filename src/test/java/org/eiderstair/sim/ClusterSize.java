package org.eiderstair.sim;

/**
 * The size of a simulated deployment.
 *
 * @param nodes number of controllers
 * @param machines number of machines that the cloud rents out at a time
 * @param guarantee processors that are guaranteed to each team
 * @param limit processors that each team may use
 * @param jobs number of jobs submitted on a normal day
 * @param tasks number of tasks of the largest job
 */
record ClusterSize(int nodes, int machines, double guarantee, double limit, int jobs, int tasks) {
  /** A small deployment, for tests that run many days. */
  static final ClusterSize SMALL = new ClusterSize(3, 10, 8, 24, 25, 12);

  /** About the size of the users' grown deployments, with five controllers. */
  static final ClusterSize GROWN = new ClusterSize(5, 300, 240, 900, 160, 60);

  /** Returns a size with half as many machines again as the largest deployment had at first. */
  static ClusterSize fleet(int nodes) {
    return new ClusterSize(nodes, 1600, 2000, 6400, 600, 240);
  }

  /** Returns the size that every fixed limit of the software must allow. */
  static ClusterSize full(int nodes) {
    return new ClusterSize(nodes, 4000, 5000, 16_000, 1500, 240);
  }
}
