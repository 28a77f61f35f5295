package org.eiderstair.sim;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import org.eiderstair.core.message.Answer;
import org.eiderstair.core.message.Reply;
import org.eiderstair.core.message.Request;
import org.eiderstair.core.model.FencingToken;
import org.eiderstair.core.model.Heartbeat;
import org.eiderstair.core.model.Heartbeat.Exit;
import org.eiderstair.core.model.Heartbeat.TaskState;
import org.eiderstair.core.model.Order;
import org.eiderstair.core.model.TaskId;

/** A stand-in for one machine and its worker. */
final class Worker {
  private static final class Running {
    final TaskId task;
    final long attempt;
    TaskState state = TaskState.FETCHING;
    Exit exit = Exit.NONE;

    Running(TaskId task, long attempt) {
      this.task = task;
      this.attempt = attempt;
    }

    boolean on() {
      return state == TaskState.RUNNING || state == TaskState.SAVING;
    }
  }

  final String id;
  final String zone;
  final boolean spot;
  final String type;
  private final SimulatedCluster day;
  private final Map<TaskId, Running> tasks = new LinkedHashMap<>();
  private long incarnation = 1;
  private long tally;
  private FencingToken baton = FencingToken.NONE;
  private long answeredSentMicros;
  private int node;
  private boolean inFlight;
  private boolean reportSoon;
  private long reportId;
  private long nextReportMicros;
  private long lastReportMicros;
  boolean dead;
  long diedMicros;
  boolean sick;
  private long hungUntilMicros;
  private final List<Runnable> whileHung = new ArrayList<>();
  long noticeAtMicros = -1;

  /** Until then what is sent to it is lost, while its reports arrive. */
  long deafUntilMicros;

  /** Until then it reaches no controller, while commands reach it. */
  long muteUntilMicros;

  Worker(SimulatedCluster day, String id, String type, String zone, boolean spot) {
    this.day = day;
    this.id = id;
    this.type = type;
    this.zone = zone;
    this.spot = spot;
    this.answeredSentMicros = day.clock.now();
    this.node = day.random.nextInt(day.size.nodes());
    tick();
  }

  void hang(long micros) {
    hungUntilMicros = day.clock.now() + micros;
  }

  private boolean hung() {
    return day.clock.now() < hungUntilMicros;
  }

  private void tick() {
    if (dead) {
      return;
    }
    day.clock.after(100_000, this::tick);
    // A hung machine may go on only within its lease.
    if (day.clock.now() > answeredSentMicros + day.leaseMicros()) {
      newIncarnation();
    }
    if (hung()) {
      return;
    }
    List<Runnable> waiting = new ArrayList<>(whileHung);
    whileHung.clear();
    waiting.forEach(Runnable::run);
    long now = day.clock.now();
    if (!inFlight && (now >= nextReportMicros || reportSoon && now >= lastReportMicros + 500_000)) {
      report();
    }
  }

  private void newIncarnation() {
    tasks.keySet().forEach(day::off);
    tasks.clear();
    incarnation++;
    tally = 0;
    answeredSentMicros = day.clock.now();
    reportSoon = true;
  }

  /** Whether a task of that size would find room. */
  boolean hasFreeResources(double cpus) {
    double used = 0;
    for (Running r : tasks.values()) {
      used += r.state == TaskState.ENDED ? 0 : day.spec(r.task.job()).cpus();
    }
    return !dead && used + cpus <= SimulatedCluster.TYPE.cpus() + 1e-6;
  }

  /** Whether something is here that a leader of a later term than that has placed. */
  boolean usedAfter(long term) {
    return tasks.values().stream()
        .anyMatch(r -> r.state != TaskState.ENDED && r.attempt >> 31 > term);
  }

  void die() {
    dead = true;
    diedMicros = day.clock.now();
    tasks.keySet().forEach(t -> day.offIf(t, id));
  }

  private Heartbeat view() {
    List<Heartbeat.Entry> entries = new ArrayList<>();
    tasks
        .values()
        .forEach(r -> entries.add(new Heartbeat.Entry(r.task, r.attempt, r.state, r.exit, false)));
    long notice =
        noticeAtMicros < 0 ? Heartbeat.NO_NOTICE : Math.max(0, noticeAtMicros - day.clock.now());
    return new Heartbeat(id, id, type, zone, spot, incarnation, ++tally, baton, notice, entries);
  }

  private void report() {
    inFlight = true;
    reportSoon = false;
    lastReportMicros = day.clock.now();
    nextReportMicros = lastReportMicros + 2_000_000 + day.random.nextInt(1_500_000);
    long thisReport = ++reportId;
    long sentSession = incarnation;
    long sentMicros = day.clock.now();
    Consumer<Answer> answered =
        answer -> {
          if (dead || thisReport != reportId || !inFlight) {
            return;
          }
          if (hung() || day.clock.now() < deafUntilMicros) {
            return;
          }
          inFlight = false;
          if (answer instanceof Answer.Command command) {
            if (command.fencingToken().isAtLeast(baton) && sentSession == incarnation) {
              see(command.fencingToken());
              answeredSentMicros = sentMicros;
              command.orders().forEach(this::execute);
            }
          } else if (answer instanceof Answer.Redirect redirect && redirect.node() != null) {
            node = day.indexOf(redirect.node());
            reportSoon = true;
          } else {
            node = (node + 1) % day.size.nodes();
            nextReportMicros = day.clock.now() + 1_000_000;
          }
        };
    if (day.clock.now() >= muteUntilMicros) {
      day.toNode(id, node, view(), answered);
    }
    day.clock.after(
        4_000_000,
        () -> {
          if (inFlight && thisReport == reportId) {
            inFlight = false;
            node = (node + 1) % day.size.nodes();
            nextReportMicros = day.clock.now() + 1_000_000;
          }
        });
  }

  private void see(FencingToken fencingToken) {
    if (fencingToken.compareTo(baton) > 0) {
      baton = fencingToken;
      reportSoon = true;
    }
  }

  /** A direct command or a status request; a hung machine takes it when it goes on. */
  void direct(Request request, Consumer<Reply> reply) {
    if (dead || day.clock.now() < deafUntilMicros) {
      return;
    }
    if (hung()) {
      whileHung.add(() -> direct(request, reply));
      return;
    }
    boolean executed = false;
    if (request instanceof Request.WorkerCommands c
        && c.fencingToken().isAtLeast(baton)
        && c.incarnation() == incarnation) {
      see(c.fencingToken());
      c.orders().forEach(this::execute);
      executed = true;
    }
    reply.accept(new Reply.Report(view(), executed));
  }

  private void execute(Order order) {
    Running r = tasks.get(order.task());
    if (order instanceof Order.Launch) {
      if (r != null && r.attempt == order.attempt()) {
        return;
      }
      Running started = new Running(order.task(), order.attempt());
      if (r != null && r.state != TaskState.ENDED) {
        return;
      }
      tasks.put(order.task(), started);
      reportSoon = true;
      if (sick) {
        started.state = TaskState.ENDED;
        started.exit = Exit.ERROR;
        return;
      }
      day.clock.after(200_000 + day.random.nextInt(2_000_000), () -> begin(started));
    } else if (r != null && r.attempt == order.attempt()) {
      if (order instanceof Order.Kill && r.state != TaskState.ENDED) {
        if (r.on()) {
          day.off(r.task);
        }
        r.state = TaskState.ENDED;
        r.exit = Exit.STOPPED;
        reportSoon = true;
      } else if (order instanceof Order.Acknowledge && r.state == TaskState.ENDED) {
        tasks.remove(order.task());
      }
    }
  }

  private void begin(Running r) {
    if (dead || tasks.get(r.task) != r || r.state != TaskState.FETCHING) {
      return;
    }
    if (hung()) {
      whileHung.add(() -> begin(r));
      return;
    }
    r.state = TaskState.RUNNING;
    reportSoon = true;
    day.on(r.task, this);
    long run = day.runMicros(r.task);
    if (run > 0) {
      day.clock.after(run, () -> finish(r));
    }
  }

  private void finish(Running r) {
    if (dead || tasks.get(r.task) != r || r.state != TaskState.RUNNING) {
      return;
    }
    if (hung()) {
      whileHung.add(() -> finish(r));
      return;
    }
    boolean fails = day.mistaken(r.task.job());
    r.state = TaskState.ENDED;
    r.exit = fails ? Exit.ERROR : Exit.DONE;
    day.off(r.task);
    if (!fails) {
      day.completed(r.task);
    }
    reportSoon = true;
  }
}
