package org.eiderstair.core;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import net.jqwik.api.Example;
import org.eiderstair.core.MachineReport.Entry;
import org.eiderstair.core.MachineReport.Exit;
import org.eiderstair.core.MachineReport.TaskState;
import org.eiderstair.core.standby.Standby;

/**
 * Every order of a small case, to a stated depth: one machine, two leaders one after the other, one
 * or two tasks of a job that may be cancelled; commands, replies, reports and answers that are
 * delivered, lost, given up and executed late. States that look the same are visited once. Further:
 * {@code mvn -B test -Dtest=CommandSearchTest -Dsearch.states=200000}.
 *
 * <p>What must hold in every state, for the newest leader: a task that it may place elsewhere is
 * not alive on the machine and no launch of it can still be executed there ({@code ran_twice}); it
 * counts at least what the team runs ({@code quota}); no launch leaves for a job that it knows to
 * be cancelled; and once all messages have come or are lost, a few reports later nothing of a
 * cancelled job is left ({@code ran_cancelled}), and all of an open one is done or runs.
 */
class CommandSearchTest {
  private static final int STATES = Integer.getInteger("search.states", 15_000);
  private static final int DEPTH = Integer.getInteger("search.depth", 11);
  private static final long SECOND = 1_000_000;
  private static final long SECOND_TERM = 1_000;
  private static final String JOB = "job-1";
  private static final String MACHINE = "m-0";
  private static final int MOST_IN_FLIGHT = 2;
  private static final int MOST_SESSIONS = 2;

  /** Times since an answer that differ by less are taken for the same. */
  private static final long LEASES_ALIKE = 10;

  /** What the service is made to do wrong, to see that the search finds it. */
  private enum Mistake {
    NONE,
    FORGETS_LAUNCHES,
    FORGETS_CANCELLED,
    NEVER_KILLS
  }

  /** A direct command on its way; the leader may have given it up. */
  private static final class Command {
    final int leader;
    final long call;
    final Request.WorkerCommands request;
    boolean givenUp;
    Reply.Report reply;

    Command(int leader, long call, Request.WorkerCommands request) {
      this.leader = leader;
      this.call = call;
      this.request = request;
    }
  }

  /** The report that the worker waits to be answered, or a late copy that nobody waits for. */
  private static final class Report {
    final MachineReport content;
    final int leader;
    final long sentMicros;
    final boolean copy;
    long exchange;
    Answer answer;

    Report(MachineReport content, int leader, long sentMicros, boolean copy) {
      this.content = content;
      this.leader = leader;
      this.sentMicros = sentMicros;
      this.copy = copy;
    }
  }

  /** The machine, to the letter of the protocol as far as it matters here. */
  private static final class Worker {
    long token;
    long session = 1;
    long sequence;
    long answeredSentMicros;
    final Map<TaskId, Entry> tasks = new TreeMap<>((a, b) -> Integer.compare(a.index(), b.index()));

    MachineReport view() {
      return new MachineReport(
          MACHINE,
          "x",
          "t",
          "a",
          false,
          session,
          ++sequence,
          token,
          MachineReport.NO_NOTICE,
          List.copyOf(tasks.values()));
    }

    void execute(Order order) {
      Entry known = tasks.get(order.task());
      boolean same = known != null && known.attempt() == order.attempt();
      if (order instanceof Order.Launch) {
        if (known == null || !same && known.state() == TaskState.ENDED) {
          tasks.put(
              order.task(),
              new Entry(order.task(), order.attempt(), TaskState.RUNNING, Exit.NONE, false));
        }
      } else if (same && order instanceof Order.Kill && known.state() != TaskState.ENDED) {
        tasks.put(
            order.task(),
            new Entry(order.task(), order.attempt(), TaskState.ENDED, Exit.STOPPED, false));
      } else if (same && order instanceof Order.Reap && known.state() == TaskState.ENDED) {
        tasks.remove(order.task());
      }
    }

    boolean alive(TaskId task) {
      Entry entry = tasks.get(task);
      return entry != null && entry.state() != TaskState.ENDED;
    }
  }

  private final class World {
    final List<LeaderBench> leaders = new ArrayList<>();
    final int taskCount;
    final boolean withPicture;
    final Worker worker = new Worker();
    final List<Command> commands = new ArrayList<>();
    Report report;
    MachineReport earlier;
    int copies;
    boolean cancelled;
    boolean losesKills;
    long now = SECOND;
    final List<String> broken = new ArrayList<>();

    World(int taskCount, boolean withPicture) {
      this.taskCount = taskCount;
      this.withPicture = withPicture;
      LeaderBench first = new LeaderBench();
      first.now = now;
      first.lead();
      first.machines(1);
      Machine m = first.fleet.machines.get(MACHINE);
      m.answeredMicros = now;
      worker.token = m.token();
      worker.answeredSentMicros = now;
      addJob(first);
      leaders.add(first);
    }

    int newest() {
      return leaders.size() - 1;
    }

    LeaderBench newestLeader() {
      return leaders.get(newest());
    }

    private void addJob(LeaderBench leader) {
      JobSpec spec =
          new JobSpec(
              JOB,
              "c",
              "red",
              JobSpec.Shape.ARRAY,
              JobSpec.Priority.NORMAL,
              taskCount,
              1,
              0,
              1,
              "img",
              1,
              null,
              null,
              false,
              false,
              true,
              20 * SECOND,
              0,
              0,
              JobSpec.NO_DEADLINE);
      leader.replica.apply(new Reply.Item(Records.jobKey(JOB), Records.openJob(spec), 5));
      leader.replica.jobs.get(JOB).shownRunning = 1;
    }

    /** What may happen next. */
    Map<String, Runnable> actions() {
      Map<String, Runnable> all = new LinkedHashMap<>();
      all.put("pass", () -> pass(newest()));
      if (newest() == 1) {
        all.put("pass of the old leader", () -> pass(0));
      } else {
        all.put("take over", this::takeOver);
      }
      if (!cancelled) {
        all.put("cancel", this::cancel);
      }
      reportActions(all);
      for (int i = 0; i < commands.size(); i++) {
        commandActions(all, commands.get(i), i);
      }
      for (Entry entry : worker.tasks.values()) {
        if (entry.state() == TaskState.RUNNING) {
          all.put(
              "ends " + entry.task(),
              () ->
                  worker.tasks.put(
                      entry.task(),
                      new Entry(entry.task(), entry.attempt(), TaskState.ENDED, Exit.DONE, false)));
        }
      }
      if (worker.session <= MOST_SESSIONS) {
        all.put("a lease passes", () -> now += newestLeader().settings.leaseMicros() + SECOND);
      }
      return all;
    }

    private void reportActions(Map<String, Runnable> all) {
      if (report == null) {
        for (int i = 0; i < leaders.size(); i++) {
          int to = i;
          all.put("report to " + to, () -> report = new Report(worker.view(), to, now, false));
        }
      } else {
        if (report.exchange == 0) {
          all.put("report arrives", () -> deliver(report));
        }
        if (report.answer != null) {
          all.put("answer arrives", this::answered);
        }
        all.put(
            "report is given up",
            () -> {
              earlier = report.content;
              report = null;
            });
      }
      if (earlier != null && copies < 1) {
        all.put(
            "copy of an earlier report",
            () -> {
              copies++;
              deliver(new Report(earlier, newest(), now, true));
            });
      }
    }

    private void commandActions(Map<String, Runnable> all, Command c, int number) {
      if (c.reply == null) {
        all.put("command " + number + " arrives", () -> arrives(c));
      } else if (!c.givenUp) {
        all.put(
            "reply " + number + " arrives",
            () -> {
              commands.remove(c);
              leaders.get(c.leader).ports.replied(c.call, c.reply);
            });
      }
      if (!c.givenUp) {
        all.put(
            "command " + number + " is given up",
            () -> {
              c.givenUp = true;
              if (c.reply != null) {
                commands.remove(c);
              }
              leaders.get(c.leader).ports.replied(c.call, new Reply.Lost("timeout"));
            });
      } else {
        all.put("command " + number + " is lost", () -> commands.remove(c));
      }
    }

    void act(Runnable action) {
      now += 1_000;
      if (now > worker.answeredSentMicros + newestLeader().settings.leaseMicros()) {
        newSession();
      }
      for (LeaderBench leader : leaders) {
        leader.now = now;
        leader.replica.at(now);
        leader.leadership.at(now);
      }
      action.run();
      if (now > worker.answeredSentMicros + newestLeader().settings.leaseMicros()) {
        newSession();
      }
      leaders.forEach(this::collect);
      check();
    }

    private void newSession() {
      worker.session++;
      worker.sequence = 0;
      worker.tasks.clear();
      worker.answeredSentMicros = now;
      report = null;
    }

    private void pass(int k) {
      LeaderBench leader = leaders.get(k);
      now += 2 * SECOND;
      leader.now = now;
      if (k == newest()) {
        leader.renew();
      }
      leader.fleet.tick(now, false);
      if (leader.leadership.mayLaunch(now)) {
        leader.placement.place(now);
      }
      leader.fleet.flush(now);
    }

    private void takeOver() {
      LeaderBench first = leaders.get(0);
      Map<String, Standby.Held> picture = withPicture ? picture(first) : null;
      if (!withPicture) {
        now += first.settings.tuning().leaderTtlMicros();
      }
      LeaderBench second = new LeaderBench(SECOND_TERM);
      second.now = now;
      second.lead();
      addJob(second);
      if (cancelled) {
        second.replica.cancelledElsewhere(new Cancellation(JOB, 6, 0));
      }
      second.replica.apply(
          new Reply.Item(Records.rosterKey(MACHINE), Records.roster("x", "t", "a", false), 4));
      second.fleet.takeOver(now, picture, now);
      Machine m = second.fleet.machines.get(MACHINE);
      m.type = LeaderBench.TYPE;
      m.measureRoom();
      leaders.add(second);
      if (withPicture) {
        // Its standby has claimed the term: it never launches again.
        first.fleet.close();
        first.leadership.deposed("claimed");
      }
    }

    private Map<String, Standby.Held> picture(LeaderBench first) {
      Map<Integer, Long> held = new HashMap<>();
      long[] session = new long[1];
      first.fleet.snapshot(
          change -> {
            session[0] = change.session();
            if (!change.job().isEmpty()) {
              held.put(change.index(), change.attempt());
            }
          });
      return Map.of(
          MACHINE, new Standby.Held(session[0], held.isEmpty() ? Map.of() : Map.of(JOB, held)));
    }

    private void cancel() {
      cancelled = true;
      LeaderBench leader = newestLeader();
      leader.replica.cancelledElsewhere(new Cancellation(JOB, 6, 0));
      leader.fleet.jobOver(leader.replica.jobs.get(JOB));
    }

    private void deliver(Report r) {
      LeaderBench leader = leaders.get(r.leader);
      if (!leader.leadership.inOffice()) {
        r.answer = new Answer.Redirect(null);
        r.exchange = -1;
        return;
      }
      r.exchange = ++leader.exchange;
      leader.fleet.reported(r.exchange, r.content, false, now);
    }

    private void answered() {
      if (report.answer instanceof Answer.Command c
          && c.token() >= worker.token
          && report.content.session() == worker.session) {
        worker.token = c.token();
        worker.answeredSentMicros = report.sentMicros;
        execute(c.orders());
      }
      earlier = report.content;
      report = null;
    }

    private void execute(List<Order> orders) {
      orders.stream()
          .filter(o -> !losesKills || !(o instanceof Order.Kill))
          .forEach(worker::execute);
    }

    private void arrives(Command c) {
      boolean valid = c.request.token() >= worker.token && c.request.session() == worker.session;
      if (valid) {
        worker.token = c.request.token();
        execute(c.request.orders());
      }
      c.reply = new Reply.Report(worker.view(), valid);
      if (c.givenUp) {
        commands.remove(c);
      }
    }

    /** Takes what a leader has sent. */
    private void collect(LeaderBench leader) {
      int k = leaders.indexOf(leader);
      for (Effect effect : leader.effects) {
        if (effect instanceof Effect.Respond r
            && report != null
            && report.leader == k
            && report.exchange == r.exchange()) {
          report.answer = r.answer();
          noteLaunches(k, r.answer() instanceof Answer.Command c ? c.orders() : List.of());
        } else if (effect instanceof Effect.Call c
            && c.request() instanceof Request.WorkerCommands w) {
          commands.add(new Command(k, c.call(), w));
          noteLaunches(k, w.orders());
        }
      }
      leader.effects.clear();
    }

    private void noteLaunches(int k, List<Order> orders) {
      if (cancelled && k == newest() && orders.stream().anyMatch(o -> o instanceof Order.Launch)) {
        broken.add("launched what is cancelled");
      }
    }

    private void check() {
      LeaderBench leader = newestLeader();
      if (!leader.leadership.inOffice()) {
        return;
      }
      Job job = leader.replica.jobs.get(JOB);
      boolean whole = leader.fleet.unheard().isEmpty();
      double used = 0;
      for (int i = 0; i < taskCount; i++) {
        TaskId task = new TaskId(JOB, i);
        used += worker.alive(task) ? 1 : 0;
        boolean free = whole && !job.active.containsKey(i) && !job.done.get(i);
        if (free && worker.alive(task)) {
          broken.add("ran_twice: " + task + " is free for the leader and alive on the machine");
        }
        if (free && !cancelled && launchMayArrive(task)) {
          broken.add(
              "ran_twice: "
                  + task
                  + " is free for the leader, and a launch of it may yet be executed");
        }
      }
      if (whole && !cancelled && used > leader.teams.cpus("red") + 1e-6) {
        broken.add("quota: uses " + used + ", counted " + leader.teams.cpus("red"));
      }
    }

    private boolean launchMayArrive(TaskId task) {
      boolean byCommand =
          commands.stream()
              .anyMatch(
                  c ->
                      c.reply == null
                          && c.request.token() >= worker.token
                          && c.request.session() == worker.session
                          && launches(c.request.orders(), task));
      boolean byAnswer =
          report != null
              && report.answer instanceof Answer.Command c
              && c.token() >= worker.token
              && launches(c.orders(), task);
      return byCommand || byAnswer;
    }

    private static boolean launches(List<Order> orders, TaskId task) {
      return orders.stream().anyMatch(o -> o instanceof Order.Launch && o.task().equals(task));
    }

    /** All messages are lost or over, and nothing fails any more. */
    private void settle() {
      for (Command c : new ArrayList<>(commands)) {
        if (!c.givenUp) {
          leaders.get(c.leader).ports.replied(c.call, new Reply.Lost("timeout"));
        }
      }
      commands.clear();
      report = null;
      for (int round = 0; round < 9; round++) {
        act(
            () -> {
              report = new Report(worker.view(), newest(), now, false);
              deliver(report);
            });
        act(() -> pass(newest()));
        if (report != null && report.answer != null) {
          act(this::answered);
        }
        report = null;
        for (Command c : new ArrayList<>(commands)) {
          act(() -> arrives(c));
          commands.remove(c);
          act(() -> leaders.get(c.leader).ports.replied(c.call, c.reply));
        }
      }
      Job job = newestLeader().replica.jobs.get(JOB);
      for (int i = 0; i < taskCount; i++) {
        TaskId task = new TaskId(JOB, i);
        if (cancelled && worker.alive(task)) {
          broken.add("ran_cancelled: " + task + " goes on");
        } else if (!cancelled && !worker.alive(task) && !job.done.get(i)) {
          broken.add("not placed: " + task);
        }
      }
    }

    /**
     * What tells two states apart. Of sequence numbers only their order counts, of attempts only
     * which are the same.
     */
    String key() {
      StringBuilder key = new StringBuilder();
      Ranks ranks = new Ranks();
      ranks.add(worker.session, worker.sequence);
      Aliases attempts = new Aliases();
      key.append(cancelled).append(copies).append(worker.token).append('/').append(worker.session);
      entries(key, attempts, List.copyOf(worker.tasks.values()));
      for (Command c : commands) {
        key.append("|c")
            .append(c.leader)
            .append(c.givenUp)
            .append(c.request.token())
            .append('/')
            .append(c.request.session());
        c.request
            .orders()
            .forEach(
                o ->
                    key.append(o.getClass().getSimpleName())
                        .append(o.task().index())
                        .append(attempts.of(o.attempt())));
        if (c.reply != null) {
          content(key, ranks, attempts, c.reply.report());
        }
      }
      if (report != null) {
        key.append("|r").append(report.leader).append(report.exchange > 0);
        content(key, ranks, attempts, report.content);
        if (report.answer instanceof Answer.Command c) {
          key.append(c.token());
          c.orders()
              .forEach(
                  o ->
                      key.append(o.getClass().getSimpleName())
                          .append(o.task().index())
                          .append(attempts.of(o.attempt())));
        } else {
          key.append(report.answer);
        }
      }
      if (earlier != null) {
        content(key.append("|e"), ranks, attempts, earlier);
      }
      for (LeaderBench leader : leaders) {
        Machine m = leader.fleet.machines.get(MACHINE);
        Job job = leader.replica.jobs.get(JOB);
        ranks.add(m.session, m.sequence);
        key.append('#')
            .append(m.phase)
            .append(m.token())
            .append(m.commandInFlight)
            .append(m.killInFlight)
            .append(m.killsPending)
            .append(job.done)
            .append(job.state())
            .append(m.reaps.size())
            .append(m.strays.size())
            .append(now >= m.holdUntilMicros)
            .append(leader.leadership.inOffice())
            .append((now - m.answeredMicros) / (LEASES_ALIKE * SECOND));
        for (Attempt a : m.attempts.values()) {
          key.append(a.index).append(a.phase).append(attempts.of(a.number));
          ranks.add(m.session, a.sentSequence);
        }
      }
      return key.append(ranks)
          .append((now - worker.answeredSentMicros) / (LEASES_ALIKE * SECOND))
          .toString();
    }

    private void entries(StringBuilder key, Aliases attempts, List<Entry> entries) {
      entries.forEach(
          e ->
              key.append(e.task().index())
                  .append(attempts.of(e.attempt()))
                  .append(e.state())
                  .append(e.exit()));
    }

    private void content(StringBuilder key, Ranks ranks, Aliases attempts, MachineReport r) {
      ranks.add(r.session(), r.sequence());
      key.append(r.token());
      entries(key, attempts, r.tasks());
    }
  }

  /** Replaces numbers by the order in which they are met. */
  private static final class Aliases {
    private final Map<Long, Integer> known = new HashMap<>();

    char of(long number) {
      return (char) ('a' + known.computeIfAbsent(number, n -> known.size()));
    }
  }

  /** Replaces positions by their order among all that are given. */
  private static final class Ranks {
    private final List<long[]> positions = new ArrayList<>();

    void add(long session, long sequence) {
      positions.add(new long[] {session, sequence});
    }

    @Override
    public String toString() {
      List<long[]> sorted = new ArrayList<>(positions);
      sorted.sort((a, b) -> a[0] != b[0] ? Long.compare(a[0], b[0]) : Long.compare(a[1], b[1]));
      StringBuilder ranks = new StringBuilder();
      for (long[] position : positions) {
        int rank = 0;
        while (sorted.get(rank)[0] != position[0] || sorted.get(rank)[1] != position[1]) {
          rank++;
        }
        ranks.append(position[0]).append('.').append(rank).append(' ');
      }
      return ranks.toString();
    }
  }

  private World replay(int taskCount, boolean withPicture, Mistake mistake, List<String> path) {
    World world = new World(taskCount, withPicture);
    for (String step : path) {
      Runnable action = world.actions().get(step);
      world.act(action);
      make(mistake, world);
    }
    return world;
  }

  /** The state after each step, as a service with that mistake would have it. */
  private static void make(Mistake mistake, World world) {
    Machine m = world.newestLeader().fleet.machines.get(MACHINE);
    switch (mistake) {
      case NONE -> {}
      case FORGETS_LAUNCHES -> {
        if (!m.commandInFlight) {
          new ArrayList<>(m.attempts.values())
              .stream()
                  .filter(a -> a.phase == Attempt.Phase.SENT)
                  .forEach(world.newestLeader().fleet::remove);
        }
      }
      case FORGETS_CANCELLED -> {
        for (Attempt a : new ArrayList<>(m.attempts.values())) {
          if (!a.job.open()) {
            world.newestLeader().fleet.remove(a);
          }
        }
      }
      case NEVER_KILLS -> world.losesKills = true;
    }
  }

  /** Searches breadth first; the first state that breaks something, with its path. */
  private String search(int taskCount, boolean withPicture, Mistake mistake) {
    ArrayDeque<List<String>> open = new ArrayDeque<>();
    Set<String> known = new HashSet<>();
    open.add(List.of());
    while (!open.isEmpty() && known.size() < STATES) {
      List<String> path = open.poll();
      for (String step : replay(taskCount, withPicture, mistake, path).actions().keySet()) {
        List<String> next = new ArrayList<>(path);
        next.add(step);
        World world = replay(taskCount, withPicture, mistake, next);
        if (world.broken.isEmpty() && known.add(world.key())) {
          if (next.size() < DEPTH && world.commands.size() <= MOST_IN_FLIGHT) {
            open.add(next);
          }
          world.settle();
        }
        if (!world.broken.isEmpty()) {
          return world.broken.get(0) + " after " + next;
        }
      }
    }
    return "";
  }

  @Example
  void noOrderOfMessagesBreaksARule() {
    for (boolean withPicture : new boolean[] {false, true}) {
      for (int taskCount = 1; taskCount <= 2; taskCount++) {
        assertEquals(
            "",
            search(taskCount, withPicture, Mistake.NONE),
            "tasks " + taskCount + ", picture " + withPicture);
      }
    }
  }

  @Example
  void theSearchFindsWhatIsWrongOnPurpose() {
    assertTrue(search(1, false, Mistake.FORGETS_LAUNCHES).startsWith("ran_twice"));
    assertTrue(search(1, false, Mistake.FORGETS_CANCELLED).startsWith("ran_twice"));
    assertTrue(search(1, true, Mistake.NEVER_KILLS).startsWith("ran_cancelled"));
  }
}
