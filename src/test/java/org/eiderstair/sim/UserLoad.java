package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.message.Submission;
import org.eiderstair.core.model.JobSpec;

/** Adds load by users: overload, waves of cancellations, and repeated or invalid requests. */
final class UserLoad {
  private static final long SECOND_MICROS = 1_000_000;
  private static final int MAX_HANGING_MACHINES = 8;
  private static final int UNEVEN_JOB_COUNT = 6;
  private static final long IMMEDIATE_POLL_INTERVAL_MICROS = 700;
  private static final long IMMEDIATE_CANCEL_DELAY_MICROS = 500;
  private static final int CANCEL_JITTER_MICROS = 200_000;
  private static final long INVALID_REQUEST_INTERVAL_MICROS = 300_000;
  private static final long ONE_TASK_JOB_INTERVAL_MICROS = 250_000;

  private final SimulatedCluster cluster;
  private int lastNumber;
  private int cancelOnCompletionPercent;
  private boolean immediatePolls;

  UserLoad(SimulatedCluster cluster) {
    this.cluster = cluster;
  }

  // Additional jobs.

  /**
   * Submits jobs of all priorities. Together their tasks need twice the CPUs that both teams may
   * use at a time.
   *
   * @param micros the duration of the overload; a longer overload has longer tasks
   */
  void overload(long micros) {
    int jobs = (int) (4 * cluster.size.limit() / cluster.size.tasks());
    for (int i = 0; i < jobs; i++) {
      cluster.users.submit(
          job(
              "job-5",
              "flood",
              JobSpec.Priority.values()[i % 4],
              cluster.size.tasks(),
              4 * SECOND_MICROS + micros / 8));
    }
  }

  /** Submits jobs whose first task completes soon and whose other tasks take long. */
  void submitUnevenJobs() {
    for (int i = 0; i < UNEVEN_JOB_COUNT; i++) {
      cluster.users.submit(
          job(
              "job-6",
              FaultInjector.UNEVEN_JOB_CLASS,
              JobSpec.Priority.NORMAL,
              2 + i % 2,
              8 * SECOND_MICROS));
    }
  }

  /**
   * Submits four one-task jobs per second until the given time. Cancels a quarter of these jobs a
   * few seconds after their submission.
   */
  void submitOneTaskJobs(long untilMicros) {
    if (cluster.clock.now() > untilMicros) {
      return;
    }
    cluster.clock.after(ONE_TASK_JOB_INTERVAL_MICROS, () -> submitOneTaskJobs(untilMicros));
    JobSpec spec = job("job-7", "NORMAL", JobSpec.Priority.NORMAL, 1, 4 * SECOND_MICROS);
    cluster.users.submit(spec);
    if (lastNumber % 4 == 0) {
      cluster.clock.after(
          500_000 + cluster.random.nextInt(4_000_000), () -> cluster.users.cancel(spec.id()));
    }
  }

  private JobSpec job(
      String prefix, String jobClass, JobSpec.Priority priority, int tasks, long estimateMicros) {
    lastNumber++;
    return SampleJobs.job(prefix + String.format("%05d", lastNumber))
        .jobClass(jobClass)
        .team(lastNumber % 2 == 0 ? "red" : "blue")
        .priority(priority)
        .tasks(tasks)
        .estimateMicros(estimateMicros)
        .build();
  }

  // Cancellations.

  /**
   * Cancels random running jobs, each at a random time within 0.2 s. Their number is at most a
   * quarter of the jobs of a normal day.
   *
   * @param hangMicros the time for which some machines of these jobs hang at once; 0 for no hang
   */
  void cancelRunningJobs(long hangMicros) {
    int count = cluster.size.jobs() / 4;
    int hanging = 0;
    List<String> running = new ArrayList<>(cluster.tasks.runningJobs());
    for (int i = 0; i < count && !running.isEmpty(); i++) {
      String job = running.remove(cluster.random.nextInt(running.size()));
      if (hangMicros > 0
          && hanging < MAX_HANGING_MACHINES
          && !cluster.tasks.machinesOf(job).isEmpty()) {
        hanging++;
        cluster.tasks.machinesOf(job).get(0).hang(hangMicros);
      }
      cluster.clock.after(
          cluster.random.nextInt(CANCEL_JITTER_MICROS), () -> cluster.users.cancel(job));
    }
  }

  /**
   * Cancels half of the jobs that complete in the given time, just as their last task completes.
   */
  void cancelOnCompletion(long micros) {
    cancelOnCompletionPercent = 50;
    cluster.clock.after(micros, () -> cancelOnCompletionPercent = 0);
  }

  void onJobCompleted(String job) {
    if (cluster.random.nextInt(100) < cancelOnCompletionPercent) {
      cluster.users.cancel(job);
    }
  }

  // Polls and repeated requests.

  /**
   * For the given time, makes users poll all controllers as soon as one controller has answered.
   */
  void pollImmediately(long micros) {
    immediatePolls = true;
    cluster.clock.after(micros, () -> immediatePolls = false);
  }

  /**
   * Called when a controller has answered a user that a job is accepted, done or cancelled. While
   * immediate polls are on, users then poll all controllers repeatedly. Some users submit the job
   * again or cancel it instead.
   */
  void onUserAnswered(String job) {
    if (!immediatePolls) {
      return;
    }
    for (int i = 0; i < 3 * cluster.size.nodes(); i++) {
      int node = i % cluster.size.nodes();
      cluster.clock.after(i * IMMEDIATE_POLL_INTERVAL_MICROS, () -> pollOrRepeat(node, job));
    }
    if (cluster.random.nextInt(4) == 0) {
      cluster.clock.after(IMMEDIATE_CANCEL_DELAY_MICROS, () -> cluster.users.cancel(job));
    }
  }

  private void pollOrRepeat(int node, String job) {
    if (cluster.random.nextInt(3) == 0) {
      resubmit(node, job, cluster.users.spec(job));
    } else {
      Answer.Phase phaseBefore = cluster.users.phase(job);
      cluster.sendRequest(
          node,
          exchange -> new Event.Poll(exchange, job),
          answer -> checkAnswer(job, phaseBefore, answer));
    }
  }

  /** Submits an accepted job again; a null {@code spec} stands for a malformed request. */
  private void resubmit(int node, String job, JobSpec spec) {
    Answer.Phase phaseBefore = cluster.users.phase(job);
    cluster.sendRequest(
        node,
        exchange -> new Event.Submit(exchange, toSubmission(job, spec)),
        answer -> checkAnswer(job, phaseBefore, answer));
  }

  /** Returns a submission of the job; it is malformed if {@code spec} is null. */
  private static Submission toSubmission(String job, JobSpec spec) {
    return spec == null
        ? new Submission.Malformed(job, "Cores is missing")
        : new Submission.Parsed(spec);
  }

  private void checkAnswer(String job, Answer.Phase phaseBefore, Answer answer) {
    if (answer instanceof Answer.JobView view) {
      cluster.users.onAnswer(view, phaseBefore);
    } else {
      cluster.rules.checkAcceptedNotRefused(job, answer);
    }
  }

  /**
   * Sends requests that must not start any work, until the given time. They are repeated
   * submissions (some of them malformed), cancellations of done jobs, and jobs that can never run.
   */
  void sendInvalidRequests(long untilMicros) {
    if (cluster.clock.now() > untilMicros) {
      return;
    }
    cluster.clock.after(INVALID_REQUEST_INTERVAL_MICROS, () -> sendInvalidRequests(untilMicros));
    int node = cluster.random.nextInt(cluster.size.nodes());
    repeatAcceptedJobRequest(node);
    submitImpossibleJob(node);
  }

  private void repeatAcceptedJobRequest(int node) {
    List<String> accepted = cluster.users.acceptedJobs();
    if (accepted.isEmpty()) {
      return;
    }
    String job = accepted.get(cluster.random.nextInt(accepted.size()));
    resubmit(node, job, cluster.random.nextBoolean() ? null : cluster.users.spec(job));
    if (cluster.users.phase(job) == Answer.Phase.DONE) {
      cluster.sendRequest(
          node,
          exchange -> new Event.Cancel(exchange, job),
          answer -> checkAnswer(job, Answer.Phase.DONE, answer));
    }
  }

  private void submitImpossibleJob(int node) {
    String id = String.format("job-8%05d", ++lastNumber);
    boolean malformed = cluster.random.nextBoolean();
    JobSpec tooLarge = SampleJobs.job(id).cpus(SimulatedCloud.MACHINE_TYPE.cpus() + 1).build();
    cluster.sendRequest(
        node,
        exchange -> new Event.Submit(exchange, toSubmission(id, malformed ? null : tooLarge)),
        answer -> cluster.rules.checkImpossibleNotAccepted(id, answer));
  }
}
