package org.eiderstair.sim;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import org.eiderstair.core.model.JobSpec;
import org.eiderstair.core.model.TaskId;

/**
 * Records which tasks actually run on machines, and which have completed there, independently of
 * the state of the controllers.
 */
final class TaskTracker {
  private final SimulatedCluster cluster;

  /** The id of the machine that runs each task. */
  private final Map<TaskId, String> machineOf = new HashMap<>();

  private final Map<String, Set<TaskId>> runningByJob = new HashMap<>();
  private final Set<TaskId> completed = new HashSet<>();
  private final Map<String, Integer> completedByJob = new HashMap<>();
  private final Map<String, Double> teamCpus = new HashMap<>();
  private int startCount;

  TaskTracker(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  void onTaskStarted(TaskId task, SimulatedWorker worker) {
    startCount++;
    if (machineOf.containsKey(task)) {
      cluster.rules.recordRanTwice(task, machineOf.get(task), worker.id);
      return;
    }
    JobSpec spec = cluster.users.spec(task.job());
    machineOf.put(task, worker.id);
    runningByJob.computeIfAbsent(task.job(), job -> new HashSet<>()).add(task);
    double used = teamCpus.merge(spec.team(), spec.cpus(), Double::sum);
    cluster.rules.checkQuota(spec.team(), used);
    cluster.rules.checkPlacement(task, spec, worker);
    cluster.liveness.onTaskStarted(task.job());
    cluster.rules.checkNotCancelled(task);
  }

  void onTaskStopped(TaskId task) {
    if (machineOf.remove(task) != null) {
      runningByJob.get(task.job()).remove(task);
      JobSpec spec = cluster.users.spec(task.job());
      teamCpus.merge(spec.team(), -spec.cpus(), Double::sum);
    }
  }

  /**
   * Records that a task has stopped with its machine. Does nothing if the task already runs on
   * another machine.
   */
  void onMachineStopped(String machine, TaskId task) {
    if (machine.equals(machineOf.get(task))) {
      onTaskStopped(task);
    }
  }

  void onTaskCompleted(TaskId task) {
    if (completed.add(task)) {
      completedByJob.merge(task.job(), 1, Integer::sum);
    }
    if (allCompleted(task.job())) {
      cluster.faults.onJobCompleted(task.job());
    }
  }

  /**
   * Returns the run time of a task: 1 if the task has already completed, or 0 if the task runs
   * until it is cancelled.
   */
  long runMicros(TaskId task) {
    JobSpec spec = cluster.users.spec(task.job());
    if (completed.contains(task)) {
      return 1;
    }
    int estimate = (int) spec.estimateMicros();
    if (spec.jobClass().equals(FaultInjector.UNEVEN_JOB_CLASS)) {
      return task.index() == 0 ? estimate / 8 : estimate * 2L;
    }
    return spec.shape() == JobSpec.Shape.SERVICE
        ? 0
        : estimate / 2 + cluster.random.nextInt(1 + estimate);
  }

  int startCount() {
    return startCount;
  }

  boolean isCompleted(TaskId task) {
    return completed.contains(task);
  }

  boolean allCompleted(String job) {
    return completedTasksOf(job) == cluster.users.spec(job).tasks();
  }

  /** Returns the number of completed tasks of a job. */
  int completedTasksOf(String job) {
    return completedByJob.getOrDefault(job, 0);
  }

  Set<TaskId> runningTasks() {
    return machineOf.keySet();
  }

  Set<TaskId> runningTasksOf(String job) {
    return runningByJob.getOrDefault(job, Set.of());
  }

  /** Returns the id of the machine that runs the task, or null. */
  String machineOf(TaskId task) {
    return machineOf.get(task);
  }

  /** Returns the ids of jobs with running tasks, sorted. */
  List<String> runningJobs() {
    return machineOf.keySet().stream().map(TaskId::job).distinct().sorted().toList();
  }

  /** Returns the machines that run tasks of a job. */
  List<SimulatedWorker> machinesOf(String job) {
    return machineOf.entrySet().stream()
        .filter(entry -> entry.getKey().job().equals(job))
        .map(entry -> cluster.cloud.worker(entry.getValue()))
        .filter(Objects::nonNull)
        .toList();
  }

  double teamCpus(String team) {
    return teamCpus.getOrDefault(team, 0.0);
  }
}
