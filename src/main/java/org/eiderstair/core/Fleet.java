package org.eiderstair.core;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The machines of one term and what may be on them. A task comes free here only on proof: a newer report
 * without it once its launch is settled, a new session, a deleted machine, or a lease that has run out.
 */
final class Fleet {
  private static final long ASK_AGAIN_MICROS = 1_500_000;
  private static final long LEASE_MARGIN_MICROS = 1_500_000;
  private static final long OUT_OF_REACH_MICROS = 2_500_000;
  private static final long SAVE_MARGIN_MICROS = 1_500_000;
  private static final long UNREACHED_MICROS = 6_000_000;
  private static final long FAILURE_PAUSE_MICROS = 1_000_000;
  private static final long LONGEST_PAUSE_MICROS = 60_000_000;

  private final Settings settings;
  private final Ports ports;
  private final Replica replica;
  private final Leadership leadership;
  private final Ledger ledger;
  private final TokenList tokens;
  private final long term;
  private long attempts;
  private boolean closed;
  private long now;

  final Map<String, Machine> machines = new LinkedHashMap<>();
  /** Deleted by this term: a late report or list must not bring one back. */
  final Set<String> gone = new HashSet<>();
  /** Set whenever something changed that may let a task be placed. */
  boolean changed = true;

  Fleet(Settings settings, Ports ports, Replica replica, Leadership leadership, Ledger ledger, TokenList tokens,
      long term) {
    this.settings = settings;
    this.ports = ports;
    this.replica = replica;
    this.leadership = leadership;
    this.ledger = ledger;
    this.tokens = tokens;
    this.term = term;
  }

  void close() {
    closed = true;
  }

  /** Take-over: everything rostered may hold work of earlier terms until it has been heard. */
  void takeOver(long nowMicros) {
    now = nowMicros;
    for (Replica.RosterEntry entry : replica.roster.values()) {
      Machine m = new Machine(entry.machine(), term, Machine.Phase.UNHEARD, now);
      describe(m, entry.address(), entry.type(), entry.zone(), entry.spot());
      m.rostered = true;
      machines.put(m.id, m);
      ask(m);
    }
  }

  Machine expect(String id, String address, String type, String zone, boolean spot) {
    Machine m = new Machine(id, term, Machine.Phase.BOOTING, now);
    describe(m, address, type, zone, spot);
    machines.put(id, m);
    return m;
  }

  private void describe(Machine m, String address, String typeName, String zone, boolean spot) {
    m.address = address;
    m.typeName = typeName;
    m.zone = zone;
    m.spot = spot;
    resolveType(m);
  }

  private void resolveType(Machine m) {
    for (MachineType type : replica.catalog()) {
      if (type.name().equals(m.typeName)) {
        m.type = type;
      }
    }
  }

  void typesChanged() {
    machines.values().forEach(this::resolveType);
    changed = true;
  }

  /** Whether older jobs' unseen tasks may still be on a machine that has not been heard. */
  boolean anyUnheard() {
    for (Machine m : machines.values()) {
      if (m.phase == Machine.Phase.UNHEARD) {
        return true;
      }
    }
    return false;
  }

  long nextAttempt() {
    return Math.addExact(Math.multiplyExact(term, 1L << 31), ++attempts);
  }

  /** A worker's report; the answer renews its lease and carries what it must stop or forget. */
  Answer reported(MachineReport report, long nowMicros) {
    now = nowMicros;
    if (report.token() >> 20 > term) {
      leadership.deposed("machine " + report.machine() + " has seen token " + report.token());
      return new Answer.Redirect(null);
    }
    if (gone.contains(report.machine())) {
      return new Answer.Failure(503, "machine was deleted", 0);
    }
    Machine m = machines.get(report.machine());
    if (m == null) {
      ports.info("machine " + report.machine() + " appeared, term=" + term);
      m = expect(report.machine(), report.address(), report.type(), report.zone(), report.spot());
    }
    if (m.address == null || m.typeName == null || !m.rostered) {
      describe(m, report.address(), report.type(), report.zone(), report.spot());
    }
    if (!m.rostered) {
      ledger.enrol(m);
    }
    absorb(m, report, !m.commandInFlight);
    if (m.session != report.session()) {
      return new Answer.Failure(503, "report of an earlier session", 0);
    }
    m.answeredMicros = now;
    List<Order> orders = new ArrayList<>(killsFor(m));
    orders.addAll(m.reaps.values());
    return new Answer.Command(m.token(), orders);
  }

  /**
   * Takes a machine's account of itself. {@code settles} is false while a command is on its way, since the
   * account may have been written before that command arrived.
   */
  private void absorb(Machine m, MachineReport report, boolean settles) {
    if (!report.newerThan(m.session, m.sequence)) {
      return;
    }
    m.heardMicros = now;
    if (report.session() > m.session && m.session > 0) {
      ports.info("machine " + m.id + " lost its lease and began session " + report.session() + ", term=" + term);
      freeAll(m, "new session");
      // Found by the simulator (a leader cut from its workers): a new session has its full lease from its own
      // beginning, whenever we last answered the session before.
      m.answeredMicros = now;
    }
    m.session = report.session();
    m.sequence = report.sequence();
    if (report.noticeMicros() != MachineReport.NO_NOTICE && m.plan == Machine.Plan.USE) {
      ports.info("machine " + m.id + " has notice, term=" + term);
      drain(m);
      saveProgress(m, report.noticeMicros());
    }
    boolean truth = report.token() >= m.token();
    if (truth && m.phase != Machine.Phase.HEARD) {
      if (m.phase != Machine.Phase.FENCING) {
        ports.info("machine " + m.id + " heard, term=" + term);
        m.answeredMicros = now;
        m.idleSinceMicros = now;
      }
      m.become(Machine.Phase.HEARD);
    }
    if (!truth && (m.phase == Machine.Phase.UNHEARD || m.phase == Machine.Phase.FENCING)) {
      // Older commands may still arrive there; what it shows proves nothing yet.
      return;
    }
    readEntries(m, report, settles && truth);
    changed = true;
  }

  private void readEntries(Machine m, MachineReport report, boolean settled) {
    m.strays.clear();
    m.reaps.clear();
    Set<TaskId> shown = new HashSet<>();
    for (MachineReport.Entry entry : report.tasks()) {
      shown.add(entry.task());
      if (entry.state() == MachineReport.TaskState.ENDED) {
        ended(m, entry);
      } else {
        alive(m, entry);
      }
    }
    for (Attempt a : new ArrayList<>(m.attempts.values())) {
      boolean sent = a.phase == Attempt.Phase.SEEN || a.phase == Attempt.Phase.SENT && settled;
      if (sent && !shown.contains(a.task())) {
        free(a, "not on the machine");
      }
    }
    if (!m.attempts.isEmpty()) {
      m.idleSinceMicros = now;
    }
    m.measureRoom();
    if (m.hasRoom() && m.plan == Machine.Plan.USE) {
      tokens.offer(m);
    }
  }

  private void alive(Machine m, MachineReport.Entry entry) {
    Job job = replica.jobs.get(entry.task().job());
    Attempt known = m.attempts.get(entry.task());
    if (known != null && known.number == entry.attempt()) {
      if (known.phase != Attempt.Phase.SEEN) {
        known.phase = Attempt.Phase.SEEN;
      }
      if (known.shown != entry.state()) {
        known.shown = entry.state();
        if (known.spec != null) {
          m.images.add(known.spec.image());
        }
        if (entry.state() == MachineReport.TaskState.RUNNING) {
          known.runningSinceMicros = now;
          noteRunning(known.job);
        }
      }
      return;
    }
    boolean wanted = job != null && job.open() && known == null && entry.task().index() < job.tasks()
        && !job.done.get(entry.task().index()) && !job.active.containsKey(entry.task().index());
    if (!wanted) {
      if (job != null && !job.open() && known == null && job.spec() != null) {
        adopt(m, job, entry);
      } else {
        m.strays.put(entry.task(), new Order.Kill(entry.task(), entry.attempt(), 0));
      }
      return;
    }
    ports.debug("task " + entry.task() + " found on " + m.id + ", term=" + term);
    adopt(m, job, entry);
    noteRunning(job);
  }

  private void adopt(Machine m, Job job, MachineReport.Entry entry) {
    Attempt a = new Attempt(job, entry.task().index(), entry.attempt(), m, Attempt.Phase.SEEN, now);
    a.shown = entry.state();
    a.runningSinceMicros = now;
    m.attempts.put(entry.task(), a);
    m.images.add(job.spec().image());
    job.active.put(a.index, a);
  }

  private void noteRunning(Job job) {
    if (job.open() && job.shownRunning == 0) {
      ledger.progressed(job);
    }
  }

  private void ended(Machine m, MachineReport.Entry entry) {
    TaskId task = entry.task();
    Order.Reap reap = new Order.Reap(task, entry.attempt());
    Job job = replica.jobs.get(task.job());
    Attempt known = m.attempts.get(task);
    boolean ours = known != null && known.number == entry.attempt();
    if (ours) {
      remove(known);
    }
    if (entry.exit() == MachineReport.Exit.DONE && job != null && job.open() && task.index() < job.tasks()) {
      if (!job.done.get(task.index())) {
        job.done.set(task.index());
        job.failedOn.clear();
        job.failedRounds = 0;
        m.errorsInRow = 0;
        m.failedJobs.clear();
        boolean all = job.spec().shape() == JobSpec.Shape.ARRAY && job.done.cardinality() == job.tasks();
        if (all) {
          ledger.finished(job);
        } else {
          ledger.progressed(job);
        }
      }
      // Forgotten only once durable: until then the machine's own record is the only proof.
      if (job.durable.get(task.index())) {
        m.reaps.put(task, reap);
      }
      return;
    }
    m.reaps.put(task, reap);
    if (!ours || job == null || !job.open()) {
      return;
    }
    switch (entry.exit()) {
      case ERROR -> failed(m, job, task);
      case NO_ROOM, BUSY, UNKNOWN_JOB -> {
        ports.debug("task " + task + " refused by " + m.id + ": " + entry.exit() + ", term=" + term);
        m.holdUntilMicros = now + 1_000_000;
        tokens.remove(m);
      }
      default -> { }
    }
  }

  /** Tells a machine that fails everything from a job that fails everywhere. */
  private void failed(Machine m, Job job, TaskId task) {
    ports.info("task " + task + " failed on " + m.id + ", term=" + term);
    boolean again = !job.failedOn.add(m.id);
    if ((again || job.failedOn.size() > 1) && now >= job.notBeforeMicros) {
      job.failedRounds++;
      long pause = FAILURE_PAUSE_MICROS << Math.min(job.failedRounds, 6);
      job.notBeforeMicros = now + Math.min(LONGEST_PAUSE_MICROS, pause);
    }
    m.errorsInRow++;
    if (!job.done.isEmpty() || job.failedOn.size() == 1) {
      m.failedJobs.add(job.id);
    }
    // A job with a mistake fails wherever it goes: it alone may cost one machine, never one after another.
    boolean faulty = m.failedJobs.size() >= 2 && m.errorsInRow >= 3
        || job.failedOn.size() == 1 && m.errorsInRow >= 6;
    if (faulty && m.plan == Machine.Plan.USE) {
      ports.info("machine " + m.id + " fails the tasks of " + m.failedJobs.size() + " jobs: draining, term=" + term);
      drain(m);
    }
  }

  /** No new work; what waits for it at the leader goes back to the common queue. */
  void drain(Machine m) {
    m.plan = Machine.Plan.DRAIN;
    unplan(m);
    changed = true;
  }

  /** Before a machine is taken away, tasks that can save in time are told to; the others may yet complete. */
  private void saveProgress(Machine m, long noticeMicros) {
    for (Attempt a : m.attempts.values()) {
      if (a.spec != null && a.spec.checkpointEveryMicros() > 0 && a.spec.saveMicros() + SAVE_MARGIN_MICROS <= noticeMicros) {
        a.stop = true;
        m.killsPending = true;
      }
    }
  }

  private void unplan(Machine m) {
    tokens.remove(m);
    for (Attempt a : new ArrayList<>(m.attempts.values())) {
      if (a.phase == Attempt.Phase.QUEUED || a.phase == Attempt.Phase.PLANNED) {
        free(a, "machine not usable");
      }
    }
  }

  void remove(Attempt a) {
    a.machine.attempts.remove(a.task(), a);
    a.machine.queue.remove(a);
    a.machine.toLaunch.remove(a);
    if (a.job.active.get(a.index) == a) {
      a.job.active.remove(a.index);
      a.job.freed(a.index);
    }
    a.machine.idleSinceMicros = now;
    changed = true;
  }

  private void free(Attempt a, String why) {
    ports.debug("task " + a.task() + " attempt " + a.number + " free from " + a.machine.id + ": " + why
        + ", term=" + term);
    remove(a);
  }

  private void freeAll(Machine m, String why) {
    for (Attempt a : new ArrayList<>(m.attempts.values())) {
      free(a, why);
    }
    m.strays.clear();
    m.reaps.clear();
    m.images.clear();
  }

  /** The cloud confirmed that the machine is gone, with everything on it. */
  void deleted(String id) {
    Machine m = machines.remove(id);
    gone.add(id);
    ledger.strike(id);
    if (m != null) {
      m.become(Machine.Phase.GONE);
      tokens.remove(m);
      freeAll(m, "machine deleted");
    }
    changed = true;
  }

  void rostered(String id) {
    Machine m = machines.get(id);
    if (m != null) {
      m.rostered = true;
      changed = true;
    }
  }

  void tick(long nowMicros) {
    now = nowMicros;
    for (Machine m : machines.values()) {
      boolean asks = m.phase == Machine.Phase.UNHEARD || m.phase == Machine.Phase.FENCING;
      if (asks && !m.commandInFlight && now >= m.nextAskMicros) {
        ask(m);
      }
      boolean shownOurs = m.phase == Machine.Phase.HEARD || m.phase == Machine.Phase.FENCING;
      long lease = settings.leaseMicros() + settings.leaseMicros() / 1000 + LEASE_MARGIN_MICROS;
      if (shownOurs && now > m.answeredMicros + lease) {
        ports.info("machine " + m.id + " has lost its lease, term=" + term);
        m.become(Machine.Phase.LOST);
        tokens.remove(m);
        freeAll(m, "lease over");
      }
    }
  }

  /**
   * Whether this leader seems cut off from its machines: many of those it had heard are silent, and hardly any is
   * not. Dead machines alone do not look like that, and relayed reports count as heard.
   */
  boolean outOfReach() {
    long patience = settings.reportMicros() * 3 / 2 + OUT_OF_REACH_MICROS;
    int silent = 0;
    int heard = 0;
    for (Machine m : machines.values()) {
      if (m.phase == Machine.Phase.HEARD || m.phase == Machine.Phase.FENCING) {
        if (now > m.heardMicros + patience) {
          silent++;
        } else {
          heard++;
        }
      }
    }
    return silent >= 3 && silent > heard * 3;
  }

  /** Learns the session, then shows our token with no orders: that fences older commands and reports at once. */
  private void ask(Machine m) {
    if (m.address == null || !leadership.mayCommand(now)) {
      return;
    }
    m.commandInFlight = true;
    m.nextAskMicros = now + ASK_AGAIN_MICROS;
    if (m.session > 0) {
      command(m, List.of());
      return;
    }
    ports.call(new Request.WorkerStatus(m.address), reply -> {
      m.commandInFlight = false;
      if (closed || !(reply instanceof Reply.Report status) || !status.report().machine().equals(m.id)) {
        return;
      }
      if (status.report().newerThan(m.session, m.sequence)) {
        m.session = status.report().session();
        m.sequence = status.report().sequence();
      }
      if (leadership.mayCommand(now) && m.phase != Machine.Phase.GONE) {
        m.commandInFlight = true;
        command(m, List.of());
      }
    });
  }

  private List<Order> killsFor(Machine m) {
    List<Order> kills = new ArrayList<>();
    for (Attempt a : m.attempts.values()) {
      boolean there = a.phase == Attempt.Phase.SEEN || a.phase == Attempt.Phase.SENT;
      if (there && (!a.job.open() || a.stop)) {
        kills.add(new Order.Kill(a.task(), a.number, a.job.open() ? a.spec.saveMicros() : 0));
      }
    }
    kills.addAll(m.strays.values());
    return kills;
  }

  /** The job is over: what waits for room goes at once, what may be on machines is killed. */
  void jobOver(Job job) {
    for (Attempt a : new ArrayList<>(job.active.values())) {
      if (a.phase == Attempt.Phase.QUEUED || a.phase == Attempt.Phase.PLANNED) {
        remove(a);
      } else {
        a.machine.killsPending = true;
      }
    }
    changed = true;
  }

  /** Sends each machine what was decided, one command at a time and only while this node may. */
  void flush(long nowMicros) {
    now = nowMicros;
    for (Machine m : machines.values()) {
      if (m.commandInFlight || m.phase != Machine.Phase.HEARD || m.toLaunch.isEmpty() && !m.killsPending
          || !leadership.mayCommand(now)) {
        continue;
      }
      List<Order> orders = new ArrayList<>(m.reaps.values());
      if (m.killsPending) {
        orders.addAll(killsFor(m));
        m.killsPending = false;
      }
      for (Iterator<Attempt> it = m.toLaunch.iterator(); it.hasNext(); ) {
        Attempt a = it.next();
        it.remove();
        a.phase = Attempt.Phase.SENT;
        a.sinceMicros = now;
        orders.add(new Order.Launch(a.task(), a.number));
        ports.debug("launch " + a.task() + " attempt " + a.number + " on " + m.id + ", term=" + term);
      }
      if (!orders.isEmpty()) {
        m.commandInFlight = true;
        command(m, orders);
      }
    }
  }

  private void command(Machine m, List<Order> orders) {
    ports.call(new Request.WorkerCommands(m.address, m.token(), m.session, orders), reply -> {
      m.commandInFlight = false;
      if (closed || m.phase == Machine.Phase.GONE) {
        return;
      }
      if (reply instanceof Reply.Report answer && answer.report().machine().equals(m.id)) {
        if (answer.report().token() >> 20 > term) {
          leadership.deposed("machine " + m.id + " has seen token " + answer.report().token());
          return;
        }
        absorb(m, answer.report(), true);
        return;
      }
      // The command may still arrive, minutes later: kill it with a higher token before anything is concluded.
      boolean launched = orders.stream().anyMatch(o -> o instanceof Order.Launch);
      if (launched && m.phase == Machine.Phase.HEARD) {
        ports.info("no answer from " + m.id + " to a command: raising its fence, term=" + term + ": " + reply);
        m.raiseFence();
        m.become(Machine.Phase.FENCING);
        tokens.remove(m);
        m.nextAskMicros = now + 500_000;
        // It may be out of this node's reach while its reports still come, relayed: no more launches for a while.
        m.holdUntilMicros = now + UNREACHED_MICROS;
      }
      m.killsPending |= !orders.isEmpty() && !launched;
      m.nextAskMicros = Math.max(m.nextAskMicros, now + 300_000);
    });
  }
}
