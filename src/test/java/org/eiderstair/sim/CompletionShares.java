package org.eiderstair.sim;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.model.JobSpec;

/** Which part of the submitted work is completed, by class, by team and of the largest jobs. */
final class CompletionShares {
  /** Jobs of at least this part of their class's largest count among its largest. */
  private static final double LARGEST_JOB_FRACTION = 0.75;

  private static final class Share {
    int tasks;
    int completed;

    double value() {
      return (double) completed / tasks;
    }
  }

  private final SimulatedCluster cluster;
  private final Map<String, Share> shares = new LinkedHashMap<>();

  private CompletionShares(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  /**
   * The smallest share of completed tasks, over classes, teams and the largest jobs of each class,
   * of array jobs that were submitted before a time.
   */
  static double min(SimulatedCluster cluster, long submittedBeforeMicros) {
    CompletionShares all = new CompletionShares(cluster);
    all.countJobsSubmittedBefore(submittedBeforeMicros);
    return all.shares.values().stream().mapToDouble(Share::value).min().orElse(1);
  }

  private void countJobsSubmittedBefore(long submittedBeforeMicros) {
    SimulatedUsers users = cluster.users;
    List<JobSpec> counted =
        users.acceptedJobs().stream()
            .map(users::spec)
            .filter(
                spec ->
                    spec.shape() == JobSpec.Shape.ARRAY
                        && !users.alwaysFails(spec.id())
                        && !users.cancelRequested(spec.id())
                        && users.submittedAtMicros(spec.id()) <= submittedBeforeMicros)
            .toList();
    Map<String, Integer> largest = new HashMap<>();
    counted.forEach(spec -> largest.merge(spec.jobClass(), spec.tasks(), Math::max));
    for (JobSpec spec : counted) {
      count("class " + spec.jobClass(), spec);
      count("team " + spec.team(), spec);
      if (spec.tasks() >= largest.get(spec.jobClass()) * LARGEST_JOB_FRACTION) {
        count("largest of " + spec.jobClass(), spec);
      }
    }
  }

  private void count(String group, JobSpec spec) {
    Share share = shares.computeIfAbsent(group, name -> new Share());
    share.tasks += spec.tasks();
    share.completed += cluster.tasks.completedTasksOf(spec.id());
  }
}
