package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.List;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Event;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.JobSpec;

/** The faults of docs/fault-scenarios.md, each for a while, so that they can be drawn together. */
final class FaultInjector {
  private static final long SECOND = 1_000_000;
  private static final int MAX_HANGING = 8;
  private static final long LATE_COMMAND_MIN_MICROS = 2 * SECOND;
  private static final int LATE_COMMAND_SPREAD_MICROS = 14_000_000;

  /** One fault; it lasts for a while. */
  enum Kind {
    LATE_WRITES,
    LOST_ANSWERS,
    LATE_REPORTS,
    REPORTS_FOR_THE_NEXT,
    DEAF,
    MUTE,
    LEADER_CUT_FROM_STATE_AND_PEERS,
    CANCEL_NOW,
    CANCEL_NOW_WITH_HANG,
    CANCEL_AT_END,
    ODD_REQUESTS,
    CLOSE_LOOKS,
    STANDING_STILL,
    QUICK_BOOTS,
    LEADER_REFUSED_ALONE,
    STATE_OUTAGE,
    LEADER_ENDS,
    ALL_END,
    LEADER_CHANGES,
    ZONE_CUT,
    MACHINES_CUT,
    MACHINES_HANG,
    MACHINES_DIE,
    WATCH_HANGS,
    ONE_TASK_JOBS,
    TASKS_FAR_APART,
    FLOOD,
    SLOW_STATE,
    ALL_MUTE,
    ALL_AWAY,
    LATE_COMMANDS,
    CLOUD_OUTAGE
  }

  /** The class of jobs whose first task is soon over and whose others take long. */
  static final String FAR_APART = "far apart";

  /** A report kept for whoever leads next. */
  private record Kept(String worker, Heartbeat report) {}

  private final SimulatedCluster day;
  private int latePercent;
  private boolean forNext;
  private int cancelAtEndPercent;
  private boolean quickBoots;
  private boolean closeLooks;
  private boolean slowState;
  private int lateCommandsPercent;
  private final List<Kept> kept = new ArrayList<>();
  private int numbers;

  FaultInjector(SimulatedCluster day) {
    this.day = day;
  }

  /** Begins one, for about that long. */
  void begin(Kind kind, long micros) {
    day.note("fault " + kind + " for " + micros / SECOND + " s, leader n" + day.leader());
    int leader = day.leader();
    switch (kind) {
      case LATE_WRITES -> writes(StateService.Fate.LATE, 30, micros);
      case LOST_ANSWERS -> writes(StateService.Fate.ANSWER_LOST, 30, micros);
      case LATE_REPORTS, REPORTS_FOR_THE_NEXT -> {
        latePercent = 30;
        forNext = kind == Kind.REPORTS_FOR_THE_NEXT;
        day.clock.after(micros, () -> latePercent = 0);
      }
      case DEAF -> someMachines().forEach(w -> w.deafUntilMicros = day.clock.now() + micros);
      case MUTE -> someMachines().forEach(w -> w.muteUntilMicros = day.clock.now() + micros);
      case LEADER_CUT_FROM_STATE_AND_PEERS -> {
        day.cutNodeFromState(leader, micros);
        day.cutNodeFromPeers(leader, micros);
      }
      case CANCEL_NOW -> cancelNow(0);
      case CANCEL_NOW_WITH_HANG -> cancelNow(micros + 20 * SECOND);
      case CANCEL_AT_END -> {
        cancelAtEndPercent = 50;
        day.clock.after(micros, () -> cancelAtEndPercent = 0);
      }
      case ODD_REQUESTS -> oddRequests(day.clock.now() + micros);
      case CLOSE_LOOKS -> {
        closeLooks = true;
        day.clock.after(micros, () -> closeLooks = false);
      }
      case STANDING_STILL -> day.stall(leader, 2 * SECOND + micros / 3);
      case QUICK_BOOTS -> {
        quickBoots = true;
        // So that there is something to boot.
        day.killMachines(30);
        day.clock.after(micros, () -> quickBoots = false);
      }
      case LEADER_REFUSED_ALONE -> day.refuseOne(leader, micros);
      case STATE_OUTAGE -> day.stateOutage(micros);
      case LEADER_ENDS -> day.crash(leader, 3 * SECOND);
      case ALL_END -> {
        for (int i = 0; i < day.size.nodes(); i++) {
          day.crash(i, SECOND / 3 + day.random.nextInt(20_000_000));
        }
      }
      case LEADER_CHANGES -> {
        for (int i = 0; i < 5; i++) {
          day.clock.after(i * micros / 5, () -> day.crash(day.leader(), SECOND));
        }
      }
      case ZONE_CUT -> day.cutZone(day.random.nextInt(3), micros + 10 * SECOND);
      case MACHINES_CUT -> someMachines().forEach(w -> day.cutWorker(w, micros));
      case MACHINES_HANG -> someMachines().forEach(w -> w.hang(micros));
      case MACHINES_DIE -> day.killMachines(30);
      case WATCH_HANGS -> watchHangs(leader, micros);
      case ONE_TASK_JOBS -> oneTaskJobs(day.clock.now() + micros);
      case TASKS_FAR_APART -> {
        for (int i = 0; i < 6; i++) {
          day.submit(job("job-6", FAR_APART, JobSpec.Priority.NORMAL, 2 + i % 2, 8 * SECOND));
        }
      }
      case FLOOD -> {
        // Twice what both teams may have, urgent and not, for about that long.
        int jobs = (int) (4 * day.size.limit() / day.size.tasks());
        for (int i = 0; i < jobs; i++) {
          day.submit(
              job(
                  "job-5",
                  "flood",
                  JobSpec.Priority.values()[i % 4],
                  day.size.tasks(),
                  4 * SECOND + micros / 8));
        }
      }
      case SLOW_STATE -> {
        slowState = true;
        day.clock.after(micros, () -> slowState = false);
      }
      case ALL_MUTE -> day.workers().forEach(w -> w.muteUntilMicros = day.clock.now() + micros);
      case CLOUD_OUTAGE -> day.cloudOutage(micros);
      case LATE_COMMANDS -> {
        lateCommandsPercent = 20 + day.random.nextInt(81);
        day.clock.after(micros, () -> lateCommandsPercent = 0);
      }
      case ALL_AWAY -> {
        for (int i = 0; i < day.size.nodes(); i++) {
          day.crash(i, day.leaseMicros() + 5 * SECOND + day.random.nextInt(2_000_000));
        }
      }
    }
  }

  /** What is asked of the state service is answered, but for this node's watch. */
  void watchHangs(int node, long micros) {
    day.state.deafWatches.add("n" + node);
    day.clock.after(micros, () -> day.state.deafWatches.remove("n" + node));
  }

  private void writes(StateService.Fate fate, int percent, long micros) {
    day.state.fate =
        txn ->
            !txn.writes().isEmpty() && day.random.nextInt(100) < percent
                ? fate
                : StateService.Fate.ANSWERED;
    day.clock.after(micros, () -> day.state.fate = txn -> StateService.Fate.ANSWERED);
  }

  /** A tenth of the machines and two more. */
  private List<Worker> someMachines() {
    int count = day.size.machines() / 10 + 2;
    List<Worker> some = new ArrayList<>();
    for (int i = 0; i < count && day.anyWorker() != null; i++) {
      some.add(day.anyWorker());
    }
    return some;
  }

  /**
   * Users call off jobs that run, within a fifth of a second; some of their machines hang from then
   * on.
   */
  private void cancelNow(long hangMicros) {
    int count = day.size.jobs() / 4;
    int hanging = 0;
    List<String> running = new ArrayList<>(day.running());
    for (int i = 0; i < count && !running.isEmpty(); i++) {
      String id = running.remove(day.random.nextInt(running.size()));
      if (hangMicros > 0 && hanging < MAX_HANGING && !day.machinesOf(id).isEmpty()) {
        hanging++;
        day.machinesOf(id).get(0).hang(hangMicros);
      }
      day.clock.after(day.random.nextInt(200_000), () -> day.cancel(id));
    }
  }

  void ended(String job) {
    if (day.random.nextInt(100) < cancelAtEndPercent) {
      day.cancel(job);
    }
  }

  /**
   * A user was told that a job is accepted, done or cancelled: others ask at all nodes, at once and
   * again.
   */
  void told(String job) {
    if (!closeLooks) {
      return;
    }
    for (int i = 0; i < 3 * day.size.nodes(); i++) {
      int node = i % day.size.nodes();
      day.clock.after(
          i * 700,
          () -> {
            if (day.random.nextInt(3) == 0) {
              repeat(node, job, day.spec(job));
            } else {
              look(node, job);
            }
          });
    }
    if (day.random.nextInt(4) == 0) {
      day.clock.after(500, () -> day.cancel(job));
    }
  }

  private void look(int node, String job) {
    Answer.Phase before = day.told(job);
    day.ask(node, x -> new Event.Poll(x, job), a -> checked(job, before, a));
  }

  /** {@code spec} is null where the rest of the request cannot be read. */
  private void repeat(int node, String job, JobSpec spec) {
    Answer.Phase before = day.told(job);
    day.ask(
        node,
        x -> new Event.Submit(x, job, spec, spec == null ? "Cores is missing" : null),
        a -> checked(job, before, a));
  }

  private void checked(String job, Answer.Phase before, Answer answer) {
    if (answer instanceof Answer.JobView view) {
      day.heard(view, before);
    } else if (answer instanceof Answer.Failure f
        && (f.status() == 400 || f.status() == 404 || f.status() == 422)) {
      day.breaks("forgotten: " + job + " answered " + f);
    }
  }

  /**
   * Repeated submissions, whole and unreadable ones, cancelled jobs that are done, and jobs that
   * can never run.
   */
  private void oddRequests(long untilMicros) {
    if (day.clock.now() > untilMicros) {
      return;
    }
    day.clock.after(300_000, () -> oddRequests(untilMicros));
    int node = day.random.nextInt(day.size.nodes());
    List<String> accepted = day.accepted();
    if (!accepted.isEmpty()) {
      String job = accepted.get(day.random.nextInt(accepted.size()));
      repeat(node, job, day.random.nextBoolean() ? null : day.spec(job));
      if (day.told(job) == Answer.Phase.DONE) {
        day.ask(node, x -> new Event.Cancel(x, job), a -> checked(job, Answer.Phase.DONE, a));
      }
    }
    String odd = String.format("job-8%05d", ++numbers);
    boolean unreadable = day.random.nextBoolean();
    JobSpec unfit =
        new JobSpec(
            odd,
            "NORMAL",
            "red",
            JobSpec.Shape.ARRAY,
            JobSpec.Priority.NORMAL,
            1,
            SimulatedCluster.TYPE.cpus() + 1,
            0,
            1,
            "img",
            0.5,
            null,
            null,
            false,
            false,
            true,
            SECOND,
            0,
            0,
            JobSpec.NO_DEADLINE);
    day.ask(
        node,
        x ->
            new Event.Submit(
                x, odd, unreadable ? null : unfit, unreadable ? "Cores is missing" : null),
        a -> {
          if (a instanceof Answer.JobView) {
            day.breaks("accepted: " + odd + " can never run");
          }
        });
  }

  /** Four a second, a quarter of them cancelled. */
  private void oneTaskJobs(long untilMicros) {
    if (day.clock.now() > untilMicros) {
      return;
    }
    day.clock.after(250_000, () -> oneTaskJobs(untilMicros));
    JobSpec spec = job("job-7", "NORMAL", JobSpec.Priority.NORMAL, 1, 4 * SECOND);
    String id = spec.id();
    day.submit(spec);
    if (numbers % 4 == 0) {
      day.clock.after(500_000 + day.random.nextInt(4_000_000), () -> day.cancel(id));
    }
  }

  private JobSpec job(
      String prefix, String jobClass, JobSpec.Priority priority, int tasks, long estimateMicros) {
    return new JobSpec(
        prefix + String.format("%05d", ++numbers),
        jobClass,
        numbers % 2 == 0 ? "red" : "blue",
        JobSpec.Shape.ARRAY,
        priority,
        tasks,
        1,
        0,
        1,
        "img",
        0.5,
        null,
        null,
        false,
        false,
        true,
        estimateMicros,
        0,
        0,
        JobSpec.NO_DEADLINE);
  }

  /** How long the state service thinks beside its usual time. */
  long stateMicros() {
    return slowState ? 100_000 + day.random.nextInt(900_000) : 0;
  }

  long bootMicros() {
    return quickBoots
        ? 200_000 + day.random.nextInt(1_800_000)
        : 4_000_000 + day.random.nextInt(8_000_000);
  }

  /**
   * How long a direct command or question that leaves now is held on its way; 0 for one that is
   * not. One that is held stays unanswered, and is executed once if its token and session still
   * match then.
   */
  long commandDelayMicros() {
    boolean held = lateCommandsPercent > 0 && day.random.nextInt(100) < lateCommandsPercent;
    return held ? LATE_COMMAND_MIN_MICROS + day.random.nextInt(LATE_COMMAND_SPREAD_MICROS) : 0;
  }

  /** A worker's report has left; a copy of some arrives again. */
  void reported(String worker, int node, Heartbeat report) {
    if (latePercent == 0 || day.random.nextInt(100) >= latePercent) {
      return;
    }
    if (forNext) {
      kept.add(new Kept(worker, report));
    } else {
      day.clock.after(
          2 * SECOND + day.random.nextInt((int) (day.leaseMicros() * 3 / 2)),
          () -> day.deliver(worker, node, report, a -> {}));
    }
  }

  /** Kept reports reach every controller just as a new leader begins. */
  void newLeader() {
    for (Kept k : kept) {
      for (int i = 0; i < day.size.nodes(); i++) {
        int node = i;
        day.clock.after(
            day.random.nextInt(400_000), () -> day.deliver(k.worker(), node, k.report(), a -> {}));
      }
    }
    kept.clear();
  }
}
