package org.eiderstair.sim;

/**
 * How large a deployment a simulated day plays on.
 *
 * @param nodes controllers
 * @param machines how many machines the cloud rents out at once
 * @param guarantee processors guaranteed to each team
 * @param limit processors that each team may use
 * @param jobs jobs of a usual day
 * @param tasks tasks of its largest job
 */
record ClusterSize(int nodes, int machines, double guarantee, double limit, int jobs, int tasks) {
  static final ClusterSize SMALL = new ClusterSize(3, 10, 8, 24, 25, 12);

  /** About the size of the users' grown deployments, with five controllers. */
  static final ClusterSize GROWN = new ClusterSize(5, 300, 240, 900, 160, 60);

  /** Half as many again as the users' largest deployments had at first. */
  static ClusterSize fleet(int nodes) {
    return new ClusterSize(nodes, 1600, 2000, 6400, 600, 240);
  }

  /** The size that no fixed limit may stand below. */
  static ClusterSize full(int nodes) {
    return new ClusterSize(nodes, 4000, 5000, 16_000, 1500, 240);
  }
}
