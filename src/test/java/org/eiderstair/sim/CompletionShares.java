package org.eiderstair.sim;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.eiderstair.core.model.JobSpec;

/** The completed share of the submitted tasks, by class, by team and for the largest jobs. */
final class CompletionShares {
  /**
   * A job is among the largest of its class if it has at least this fraction of the largest task
   * count.
   */
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
   * Returns the smallest share of completed tasks over all classes, all teams and the largest jobs
   * of each class. Counted are array jobs that were submitted before a time, can complete and were
   * not cancelled.
   */
  static double min(SimulatedCluster cluster, long submittedBeforeMicros) {
    CompletionShares completion = new CompletionShares(cluster);
    completion.countJobsSubmittedBefore(submittedBeforeMicros);
    return completion.shares.values().stream().mapToDouble(Share::value).min().orElse(1);
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
